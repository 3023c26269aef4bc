//! Hollow proxies with sockets: the product's whole proxy, each on a thread of this process, with no clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use violetseam_proxy::driver::{Options, Summary, serve};
use violetseam_settings::read_text;

/// Most proxies of one process: each takes some ten descriptors and a thread.
pub const PROXIES_MOST: usize = 1_000;
/// A proxy ends by itself after this span, whatever becomes of the run.
const LIFE_MOST: Duration = Duration::from_secs(300);

/// Where a proxy's control plane is.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlane {
    /// The server registry.
    pub registry: SocketAddr,
    /// The release controller.
    pub controller: SocketAddr,
}

/// Proxies that run.
pub struct HollowProxies {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<std::io::Result<Summary>>>,
}

/// Settings of the `position`th of `size` proxies, as a script.
pub fn settings(control: ControlPlane, size: usize, position: usize) -> String {
    let ControlPlane { registry, controller } = control;
    format!(
        "fleet(name = \"hollow\", size = {size}, position = {position}, seed = {position})\n\
         listen(addr = \"127.0.0.1:0\")\n\
         roster(addr = \"{registry}\", timeout = \"10s\")\ndesk(addr = \"{controller}\")\n\
         request_class(name = \"read\", aim = \"1s\", deadline = \"1s\", effect = \"retryable\")\n\
         route(prefix = \"/\", to = \"read\")\n\
         rollout(stage_caps = [0.25, 1.0], counted_over = \"2s\", vote_ttl = \"10s\", gate = \"share\")\n\
         contract(ask_within = \"10s\", cold_from = 0.5, cold_span = \"1s\", drain_grace = \"2s\", fall_multiple = 3.0, fall_span = \"1s\")\n"
    )
}

impl HollowProxies {
    /// Starts so many and waits until each listens.
    ///
    /// # Errors
    /// A text that says which process does not start.
    pub fn start(count: usize, control: ControlPlane) -> Result<HollowProxies, String> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut proxies = HollowProxies { stop: stop.clone(), threads: Vec::new() };
        let (ready, is_ready) = channel();
        for position in 0..count.min(PROXIES_MOST) {
            let settings = read_text("hollow.star", &settings(control, count, position), &[])
                .map_err(|fault| fault.to_string())?;
            let options =
                Options { stop: Some(stop.clone()), stop_after: Some(LIFE_MOST), ..Options::default() };
            let ready = ready.clone();
            let run = move || {
                serve(settings, options, |_| {
                    let _ = ready.send(());
                })
            };
            let thread = std::thread::Builder::new().name(format!("proxy-{position}"));
            proxies.threads.push(thread.spawn(run).map_err(|e| e.to_string())?);
        }
        drop(ready);
        for _ in 0..proxies.threads.len() {
            is_ready.recv().map_err(|_| "a hollow proxy did not start".to_owned())?;
        }
        Ok(proxies)
    }

    /// Ends all; how many ended with a fault.
    pub fn stop(mut self) -> usize {
        self.end()
    }

    fn end(&mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).filter_map(|thread| thread.join().ok()).filter(Result::is_err).count()
    }
}

impl Drop for HollowProxies {
    fn drop(&mut self) {
        self.end();
    }
}
