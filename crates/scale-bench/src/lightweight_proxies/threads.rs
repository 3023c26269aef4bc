//! Lightweight proxies with sockets: the product's whole proxy, each on a thread of this process, with no
//! clients.

use crate::ScaleError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use violetseam_proxy::driver::{Options, Summary, serve};
use violetseam_settings::read_text;

/// Most proxies of one process: each takes some ten descriptors and a thread.
pub const MAX_PROXIES: usize = 1_000;
/// A proxy ends by itself after this span, whatever becomes of the run.
const MAX_PROXY_LIFETIME: Duration = Duration::from_secs(300);
/// Name of the settings script in error messages.
const SCRIPT_NAME: &str = "hollow.star";

/// Where a proxy's control plane is.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlane {
    /// The server registry.
    pub registry: SocketAddr,
    /// The release controller.
    pub controller: SocketAddr,
}

/// Proxies that run on threads; they end when it is dropped.
pub struct ProxyThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<std::io::Result<Summary>>>,
}

/// Settings of the `position`th of `size` proxies, as a script.
pub fn settings_script(control_plane: ControlPlane, size: usize, position: usize) -> String {
    let ControlPlane { registry, controller } = control_plane;
    format!(
        "fleet(name = \"hollow\", size = {size}, position = {position}, seed = {position})\n\
         listen(addr = \"127.0.0.1:0\")\n\
         roster(addr = \"{registry}\", timeout = \"10s\")\ndesk(addr = \"{controller}\")\n\
         request_class(name = \"read\", aim = \"1s\", deadline = \"1s\", effect = \"retryable\")\n\
         route(prefix = \"/\", to = \"read\")\n\
         rollout(stage_caps = [0.25, 1.0], counted_over = \"2s\", vote_ttl = \"10s\", gate = \"share\")\n\
         contract(ask_within = \"10s\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"2s\", \
         fall_multiple = 3.0, fall_span = \"1s\")\n"
    )
}

impl ProxyThreads {
    /// Starts so many, [`MAX_PROXIES`] at most, and waits until each listens.
    ///
    /// # Errors
    /// [`ScaleError`] if the settings are not accepted or a proxy does not start.
    pub fn start(count: usize, control_plane: ControlPlane) -> Result<ProxyThreads, ScaleError> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut proxies = ProxyThreads { stop: stop.clone(), threads: Vec::new() };
        let (ready, all_ready) = channel();
        for position in 0..count.min(MAX_PROXIES) {
            let script = settings_script(control_plane, count, position);
            let settings = read_text(SCRIPT_NAME, &script, &[])?;
            let options = Options {
                stop: Some(stop.clone()),
                stop_after: Some(MAX_PROXY_LIFETIME),
                ..Options::default()
            };
            let ready = ready.clone();
            let run = move || {
                serve(settings, options, |_| {
                    let _ = ready.send(());
                })
            };
            let thread = std::thread::Builder::new().name(format!("proxy-{position}"));
            proxies.threads.push(thread.spawn(run)?);
        }
        drop(ready);
        for _ in 0..proxies.threads.len() {
            all_ready.recv().map_err(|_| ScaleError::ProxyStart)?;
        }
        Ok(proxies)
    }

    /// Ends all proxies.
    ///
    /// # Errors
    /// [`ScaleError::ProxiesFailed`] if some ended with an error.
    pub fn stop(mut self) -> Result<(), ScaleError> {
        match self.end() {
            0 => Ok(()),
            count => Err(ScaleError::ProxiesFailed { count }),
        }
    }

    /// Ends all proxies; how many ended with an error.
    fn end(&mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).filter_map(|thread| thread.join().ok()).filter(Result::is_err).count()
    }
}

impl Drop for ProxyThreads {
    fn drop(&mut self) {
        self.end();
    }
}
