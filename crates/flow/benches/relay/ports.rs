//! Builds a plane over one engine link, with all other ports in memory.

use std::{collections, future, net, sync, time::Duration};

use base::fingerprint;
use conf::{document, inventory, snapshot};
use flow::{
    body, link_error, memory, memory_store, plane, port, proof, request, settings, token, view,
};
use tokio::sync::watch;

/// Service link of a plane without plain services.
pub struct NoServices;

impl port::ServiceLink for NoServices {
    async fn call(
        &self,
        _target: &port::ServerTarget,
        _call: &port::ServiceCall,
        _time_left: Duration,
        _permit: proof::SendPermit,
    ) -> Result<port::ServiceAnswer, link_error::CallError> {
        future::pending().await
    }
}

/// Ports over one engine link, all else in memory.
pub struct BenchPorts<E> {
    engines: E,
    schedule: memory::MemorySchedule,
    claims: memory_store::MemoryClaims,
    jobs: memory_store::MemoryJobs,
}

impl<E: port::EngineLink> port::PortSet for BenchPorts<E> {
    type Engines = E;
    type Services = NoServices;
    type Schedule = memory::MemorySchedule;
    type Quotas = memory::NoQuotas;
    type Claims = memory_store::MemoryClaims;
    type Jobs = memory_store::MemoryJobs;
    type Events = memory::NoEvents;
    type Clock = memory::SystemClock;
    type Ids = memory::RandomIds;
    type Peers = memory::NoPeers;

    fn engines(&self) -> &E {
        &self.engines
    }
    fn services(&self) -> &NoServices {
        &NoServices
    }
    fn schedule(&self) -> &memory::MemorySchedule {
        &self.schedule
    }
    fn quotas(&self) -> &memory::NoQuotas {
        &memory::NoQuotas
    }
    fn claims(&self) -> &memory_store::MemoryClaims {
        &self.claims
    }
    fn jobs(&self) -> &memory_store::MemoryJobs {
        &self.jobs
    }
    fn events(&self) -> &memory::NoEvents {
        &memory::NoEvents
    }
    fn clock(&self) -> &memory::SystemClock {
        &memory::SystemClock
    }
    fn ids(&self) -> &memory::RandomIds {
        &memory::RandomIds
    }
    fn peers(&self) -> &memory::NoPeers {
        &memory::NoPeers
    }
}

fn view(address: net::SocketAddr) -> view::PlaneView {
    let mut inventory = inventory::Inventory::default();
    let engine = inventory::EngineEntry {
        models: vec!["review-llm".to_owned()],
        checks_fencing: true,
        kv_blocks: 1,
        block_tokens: 1,
        max_batch: 1,
    };
    let server = inventory::ServerEntry {
        failure_domain: "hall-a".to_owned(),
        address,
        kind: inventory::ServerKind::ModelEngine(engine),
    };
    inventory.backend_servers = collections::BTreeMap::from([("engine-0".to_owned(), server)]);
    let model = inventory::ModelEntry {
        context_tokens: 100_000,
        ..inventory::ModelEntry::default()
    };
    inventory.models = collections::BTreeMap::from([("review-llm".to_owned(), model)]);
    let organisation = inventory::OrganisationEntry {
        key_hashes: vec![fingerprint::ContentHash::of(b"key").to_string()],
        region: "hcmc".to_owned(),
    };
    inventory.organisations = collections::BTreeMap::from([("troupes".to_owned(), organisation)]);
    let configuration = document::Configuration {
        inventory,
        ..document::Configuration::default()
    };
    let config = snapshot::ConfigSnapshot::default().next(1, 1, sync::Arc::new(configuration));
    view::PlaneView {
        config: sync::Arc::new(config),
        leaving: sync::Arc::default(),
    }
}

/// Plane over one engine link.
pub type BenchPlane<E> = plane::RequestPlane<BenchPorts<E>>;

/// Creates a plane whose only engine is at `address`.
pub fn new_plane<E: port::EngineLink>(
    engines: E,
    address: net::SocketAddr,
) -> sync::Arc<BenchPlane<E>> {
    let views = watch::Sender::new(sync::Arc::new(view(address)));
    let ports = BenchPorts {
        engines,
        schedule: memory::MemorySchedule::new(views.subscribe(), usize::MAX),
        claims: memory_store::MemoryClaims::default(),
        jobs: memory_store::MemoryJobs::default(),
    };
    let key = token::TokenKey {
        id: 1,
        secret: vec![1; 32],
    };
    let keys = token::TokenKeys::new(key, None);
    let settings = settings::PlaneSettings::new("entry-0".to_owned(), keys);
    sync::Arc::new(plane::RequestPlane::new(ports, settings, views.subscribe()))
}

/// Starts a stream.
pub async fn begin<E: port::EngineLink>(plane: &BenchPlane<E>, number: u64) -> plane::StreamReply {
    let headers = request::CallerHeaders {
        api_key: Some("key".to_owned()),
        ..request::CallerHeaders::default()
    };
    let body = format!(
        r#"{{"model": "review-llm", "stream": true, "messages": [{{"role": "user", "content": "{number}"}}]}}"#
    );
    let reply = plane.generate(headers, body::CompletionApi::Chat, body.into());
    match reply.await {
        Ok(plane::GenerationReply::Stream(reply)) => reply,
        other => panic!("no stream: {other:?}"),
    }
}
