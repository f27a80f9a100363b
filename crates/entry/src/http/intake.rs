//! Bodies of requests, within their limits in size, memory and time.

use base::refusal;
use bytes::Bytes;
use carry::memory;
use rocket::{data, data::ToByteUnit as _};
use tokio::{io::AsyncReadExt as _, time};

use crate::{http::head, state};

/// First buffer of a body whose length is not stated.
const FIRST_BUFFER_BYTES: usize = 8 * 1_024;
/// Memory of a body against its size: it is kept as it came and as it was parsed.
const COPIES: usize = 2;
/// Delay before the retry of a request that found no memory.
const RETRY_AFTER_MS: u64 = 1_000;

/// Reads a body. Its memory counts until the last clone of the bytes is dropped.
///
/// # Errors
///
/// A refusal when the body is too large, there is no memory for it, or it does not arrive in time.
pub(crate) async fn read(
    head: &head::CallHead,
    data: data::Data<'_>,
    entry: &state::EntryState,
) -> Result<Bytes, refusal::RefusalBody> {
    let bounds = &entry.settings.bounds;
    let limit = usize::try_from(bounds.body_bytes).unwrap_or(usize::MAX);
    let largest = entry.body_memory.largest_grant() / COPIES;
    let buffer = BodyBuffer {
        bytes: Vec::new(),
        limit: limit.min(largest),
        grant: entry.body_memory.grant(),
    };
    let reading = buffer.read(head.content_length, data);
    let read = time::timeout(bounds.body_arrival(), reading).await;
    read.unwrap_or_else(|_| {
        let message = format!(
            "the body did not arrive within {} ms; send it faster",
            bounds.body_arrival_ms
        );
        Err(refused(
            "late",
            refusal::RefusalCode::DeadlineExceeded,
            message,
        ))
    })
}

fn refused(
    reason: &'static str,
    code: refusal::RefusalCode,
    message: impl Into<String>,
) -> refusal::RefusalBody {
    metrics::counter!("pollenchute_carry_requests_refused_total", "reason" => reason).increment(1);
    refusal::RefusalBody::not_run(code, message)
}

/// Body that is being read.
struct BodyBuffer {
    /// What has arrived; the capacity is granted.
    bytes: Vec<u8>,
    /// Maximum size.
    limit: usize,
    grant: memory::MemoryGrant,
}

impl BodyBuffer {
    async fn read(
        mut self,
        length: Option<u64>,
        data: data::Data<'_>,
    ) -> Result<Bytes, refusal::RefusalBody> {
        if length.is_some_and(|length| length > self.limit as u64) {
            return Err(self.too_large());
        }
        let length = length.and_then(|length| usize::try_from(length).ok());
        self.reserve(length.unwrap_or(FIRST_BUFFER_BYTES).min(self.limit))?;
        // One byte more tells a body that is too large from one of the largest size.
        let mut stream = data.open((self.limit as u64 + 1).bytes());
        loop {
            if self.bytes.len() == self.bytes.capacity() {
                let mut next = [0];
                match stream.read(&mut next).await {
                    Ok(0) => break,
                    Ok(_) if self.bytes.len() >= self.limit => return Err(self.too_large()),
                    Ok(_) => {
                        self.reserve((2 * self.bytes.len()).clamp(1, self.limit))?;
                        self.bytes.push(next[0]);
                    }
                    Err(error) => return Err(broken(&error)),
                }
            }
            let room = self.bytes.capacity() - self.bytes.len();
            match (&mut stream)
                .take(room as u64)
                .read_buf(&mut self.bytes)
                .await
            {
                Ok(0) if room > 0 => break,
                Ok(_) => {}
                Err(error) => return Err(broken(&error)),
            }
        }
        Ok(self.grant.hold(self.bytes))
    }

    fn too_large(&self) -> refusal::RefusalBody {
        let message = format!("the body is larger than {} bytes; send less", self.limit);
        refused("too_large", refusal::RefusalCode::TooLarge, message)
    }

    /// Makes room for a body of this size, if there is memory.
    fn reserve(&mut self, capacity: usize) -> Result<(), refusal::RefusalBody> {
        self.grant.resize(COPIES * capacity).map_err(|full| {
            let refused = refused("memory", refusal::RefusalCode::Overloaded, full.to_string());
            refused.retry_after_ms(RETRY_AFTER_MS)
        })?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

fn broken(error: &std::io::Error) -> refusal::RefusalBody {
    let message = format!("the body could not be read ({error}); send it again");
    refused("broken", refusal::RefusalCode::BadRequest, message)
}
