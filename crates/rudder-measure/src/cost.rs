//! Cost of one decision at several numbers of endpoints.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rudder_model::{EndpointId, Limits, RequestId};
use rudder_route::{EndpointSpec, GrantOutcome, Options, Pool, SlotRequest};

/// Requests timed at each size.
const REQUESTS: u32 = 20_000;

/// Time of one request's decisions (ask, first token, end) in a pool of `endpoints`, half loaded.
pub fn decision(endpoints: usize) -> Duration {
    let names: Vec<EndpointId> = (0..endpoints).map(|index| EndpointId::from(format!("engine-{index}"))).collect();
    let specs: Vec<EndpointSpec> =
        names.iter().map(|id| EndpointSpec { id: id.clone(), slots: 16, engine: true, leaving: false }).collect();
    let mut pool = Pool::new(Options::default());
    pool.configure(&specs);
    let reach: Arc<[EndpointId]> = names.into();
    let window = endpoints as u64 * 8;
    let mut now = Duration::from_secs(1);
    let mut start = Instant::now();
    for count in 0..window + u64::from(REQUESTS) {
        if count == window {
            start = Instant::now();
        }
        now += Duration::from_micros(100);
        let mut out = Vec::new();
        pool.request_slot(now, to_ask(RequestId::from(count), &reach), &mut out);
        if count >= window {
            let ended = RequestId::from(count - window);
            let first = Duration::from_millis(100);
            pool.first_token(ended, first, &mut out);
            pool.end(now, ended, &GrantOutcome::Done { tokens: 50, first, total: first * 20 }, &mut out);
        }
    }
    start.elapsed() / REQUESTS
}

fn to_ask(request: RequestId, reach: &Arc<[EndpointId]>) -> SlotRequest {
    SlotRequest {
        id: request,
        entry: "entry".into(),
        class: "chat".into(),
        tier: 0,
        org: "org".into(),
        model: "model".into(),
        limits: Limits::default(),
        prefix: request as u64 % 97,
        once: false,
        resumable: true,
        slack: Duration::from_secs(1),
        patience: Duration::from_secs(10),
        reach: reach.clone(),
    }
}
