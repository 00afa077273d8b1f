//! The stand-in of a plain service: it counts the runs of each key.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError, RwLock},
    thread,
    time::Duration,
};

use eyre::Result;
use serde_json::json;
use tiny_http::Request;

use crate::{Faults, http};

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Time that a call takes.
    pub time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        ServiceOptions { time: Duration::from_millis(20) }
    }
}

/// Runs of each key, shared by all replicas of a service.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// A stand-in service.
#[derive(Debug)]
pub struct Service {
    options: ServiceOptions,
    faults: RwLock<Faults>,
    runs: Runs,
}

impl Service {
    /// Serves a new replica on `listener` that counts into `runs`.
    ///
    /// # Errors
    /// When the socket cannot be served.
    pub fn start(listener: TcpListener, options: ServiceOptions, runs: Runs) -> Result<(Arc<Service>, SocketAddr)> {
        let service = Arc::new(Service { options, faults: RwLock::default(), runs });
        let served = service.clone();
        let address = http::serve(listener, move |request| served.serve(request))?;
        Ok((service, address))
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.write().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn serve(&self, mut request: Request) {
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner).clone();
        if request.url() == "/standin/faults" {
            let faults = serde_json::from_reader(request.as_reader()).unwrap_or_default();
            self.set_faults(faults);
            return http::json(request, 200, "", "{}".to_owned());
        }
        if request.url() == "/standin/runs" {
            let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
            return http::json(request, 200, "", json!(runs).to_string());
        }
        let id = http::header(&request, "x-request-id").unwrap_or_default();
        if faults.refuse {
            return http::json(request, 503, &id, json!({"error": "refused"}).to_string());
        }
        let mut body = String::new();
        let _ = request.as_reader().read_to_string(&mut body);
        let key = http::header(&request, "idempotency-key");
        let run = key.as_ref().map_or(0, |key| self.note_run(key));
        thread::sleep(faults.stretch(self.options.time));
        while self.faults.read().unwrap_or_else(PoisonError::into_inner).hang {
            thread::sleep(Duration::from_millis(50));
        }
        if faults.crash {
            // It ran, but nobody hears of it.
            return;
        }
        let method = request.method().to_string();
        let answer = json!({"method": method, "path": request.url(), "key": key, "run": run, "bytes": body.len()});
        http::json(request, 200, &id, answer.to_string());
    }

    fn note_run(&self, key: &str) -> u32 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}
