//! A server that stops and copies runs, and whose answers to these calls may be lost.

use std::{cell, collections, rc, time};

use exchange::port;
use tokio::time::{self as clock, Instant};

/// Runs that were stopped for a copy, by server and request.
pub type StoppedRuns = rc::Rc<cell::RefCell<collections::BTreeSet<(String, String)>>>;

/// When the connection of a call that stops a run is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallLoss {
    /// Before the server has read the call.
    Unread,
    /// While the server copies the run.
    Copying,
    /// As the server answers.
    Answered,
    /// Never: the connection is silent.
    Silent,
}

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Time that a call takes on its way.
const CALL_TIME: time::Duration = time::Duration::from_millis(1);
/// Handle of a copy at its target, and of the memory of a run whose target has no room.
pub const MOVED: &str = "moved";
pub const KEPT: &str = "kept";

/// A server that stops and copies runs.
#[derive(Debug)]
pub struct CopyServer {
    pub copy_time: time::Duration,
    /// Whether copies of runs that go on find no room at their target.
    pub refuses_running: bool,
    /// Whether copies of stopped runs find none.
    pub refuses_stopped: bool,
    /// What becomes of the next calls that stop a run.
    pub losses: cell::RefCell<collections::VecDeque<CallLoss>>,
    /// When the copy of each run is complete.
    pub busy: cell::RefCell<collections::BTreeMap<String, Instant>>,
}

impl CopyServer {
    pub fn new(copy_time: time::Duration, losses: &[CallLoss]) -> Self {
        Self {
            copy_time,
            refuses_running: false,
            refuses_stopped: false,
            losses: cell::RefCell::new(losses.iter().copied().collect()),
            busy: cell::RefCell::default(),
        }
    }

    /// Answers a call. The copy goes on whatever becomes of the call's connection.
    pub async fn copy(
        &self,
        server: &str,
        run: &str,
        stop: bool,
        stopped: &StoppedRuns,
    ) -> Result<port::CopyDone, port::CopyFault> {
        clock::sleep(CALL_TIME).await;
        if stop && self.losses.borrow().front() == Some(&CallLoss::Unread) {
            self.losses.borrow_mut().pop_front();
            return Err(port::CopyFault::Unreachable);
        }
        let busy = self.busy.borrow().get(run).copied();
        if busy.is_some_and(|until| Instant::now() < until) {
            return Err(port::CopyFault::Busy);
        }
        if !stop && self.refuses_running {
            return Err(port::CopyFault::NoRoom(None));
        }
        let key = (server.to_owned(), run.to_owned());
        let is_stopped = stopped.borrow().contains(&key);
        // The memory of a run that was stopped and copied has not grown since.
        let copy_time = match is_stopped && busy.is_some() {
            true => CALL_TIME,
            false => self.copy_time,
        };
        if stop {
            stopped.borrow_mut().insert(key);
        }
        let complete = Instant::now() + copy_time;
        self.busy.borrow_mut().insert(run.to_owned(), complete);
        let loss = stop.then(|| self.losses.borrow_mut().pop_front());
        match loss.flatten() {
            Some(CallLoss::Copying) => clock::sleep(copy_time / 2).await,
            Some(CallLoss::Silent) => clock::sleep(CALL_TIMEOUT).await,
            Some(CallLoss::Answered) => clock::sleep_until(complete).await,
            None | Some(CallLoss::Unread) => {
                clock::sleep_until(complete).await;
                return self.result(stop);
            }
        }
        Err(port::CopyFault::Unreachable)
    }

    fn result(&self, stop: bool) -> Result<port::CopyDone, port::CopyFault> {
        if stop && self.refuses_stopped {
            return Err(port::CopyFault::NoRoom(Some(KEPT.to_owned())));
        }
        Ok(port::CopyDone {
            handle: MOVED.to_owned(),
            events: 0,
        })
    }
}
