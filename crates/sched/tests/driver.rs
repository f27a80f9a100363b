//! Tests of the driver on a paused clock.

use base::{class, id};
use rand::{SeedableRng as _, rngs};
use sched::{core, driver, explain, request, settings, view};
use tokio::time;

struct Fixture {
    driver: driver::Driver,
    model: id::ModelKey,
    organisation: id::OrganisationKey,
}

impl Fixture {
    fn new(max_batch: u32) -> Self {
        let mut models = slotmap::SlotMap::<id::ModelKey, ()>::with_key();
        let mut servers = slotmap::SlotMap::<id::ServerKey, ()>::with_key();
        let mut organisations = slotmap::SlotMap::<id::OrganisationKey, ()>::with_key();
        let (model, organisation) = (models.insert(()), organisations.insert(()));
        let spec = view::EngineSpec {
            identity: 1,
            location: view::ServerLocation::default(),
            models: vec![model],
            total_blocks: 1_000,
            block_tokens: 16,
            max_batch,
        };
        let rng = rngs::StdRng::seed_from_u64(1);
        let mut core = core::DispatchCore::new(settings::PolicySettings::default(), rng);
        core.server_added(servers.insert(()), spec, time::Instant::now());
        core.organisation_set(organisation, settings::OrganisationPlan::default());
        let driver = driver::Driver::new(core);
        tokio::spawn(driver.clone().run());
        Self {
            driver,
            model,
            organisation,
        }
    }

    fn request(&self) -> request::GenerationRequest {
        let class = class::TrafficClass::Normal;
        request::GenerationRequest::new(self.organisation, class, self.model, 100, 100)
    }
}

#[tokio::test(start_paused = true)]
async fn dropped_grant_frees_its_slot() {
    let fixture = Fixture::new(1);
    let grant = fixture.driver.admit(fixture.request()).await.unwrap();
    let waiting = tokio::spawn({
        let (driver, request) = (fixture.driver.clone(), fixture.request());
        async move { driver.admit(request).await.map(|grant| grant.server()) }
    });
    time::sleep(time::Duration::from_secs(1)).await;
    assert!(!waiting.is_finished());
    let server = grant.server();
    drop(grant);
    assert_eq!(waiting.await.unwrap(), Ok(server));
}

#[tokio::test(start_paused = true)]
async fn dropped_waiting_request_takes_no_slot() {
    let fixture = Fixture::new(1);
    let grant = fixture.driver.admit(fixture.request()).await.unwrap();
    let second = fixture.driver.admit(fixture.request());
    assert!(
        time::timeout(time::Duration::from_secs(1), second)
            .await
            .is_err()
    );
    grant.finished(10);
    let third = time::timeout(
        time::Duration::from_secs(1),
        fixture.driver.admit(fixture.request()),
    );
    assert!(third.await.unwrap().is_ok());
}

#[tokio::test(start_paused = true)]
async fn request_past_its_deadline_is_refused() {
    let fixture = Fixture::new(1);
    let grant = fixture.driver.admit(fixture.request()).await.unwrap();
    tokio::spawn(async move {
        loop {
            time::sleep(time::Duration::from_millis(100)).await;
            grant.progress(1);
        }
    });
    let mut request = fixture.request();
    let started = time::Instant::now();
    request.deadline = Some(started + time::Duration::from_secs(2));
    let refused = fixture.driver.admit(request).await.unwrap_err();
    assert_eq!(refused.reason, explain::RefusalReason::Deadline);
    assert!(refused.retry_after.is_some());
    assert!(started.elapsed() <= time::Duration::from_millis(2_100));
}
