//! Rule 1: one final answer in time for every request that a running proxy took, and nothing sent after it.

use crate::record::{Answer, Rules};
use crate::{Run, Verdict};

pub(crate) fn check(rules: &Rules, run: &Run<'_>, verdict: &mut Verdict) {
    for (&id, seen) in &run.requests {
        let Some((sent, proxy, class, deadline)) = seen.sent else {
            let at = seen.arrivals.first().map_or(0, |&i| run.attempts[i].at);
            verdict.broke(1, at, format!("request {id} reached a server and no client sent it"));
            continue;
        };
        verdict.look(1);
        let latest = deadline + rules.answer_grace + rules.slack;
        // Whoever stands still answers nobody: a proxy that was stopped has its time once it goes on.
        let stood = run.stood_within(proxy, sent, latest);
        let latest = latest + stood;
        let finals: Vec<_> = seen.answers.iter().filter(|a| a.1 != Answer::Broken).collect();
        let broken = seen.answers.iter().find(|a| a.1 == Answer::Broken);
        if finals.len() > 1 {
            verdict.broke(1, finals[1].0, format!("request {id} got {} final answers", finals.len()));
        }
        let excused = |until: u64| {
            // What a killed proxy held, and what a client gave up before its time, is nobody's duty.
            // Nor what a client gave up at its time while the proxy stood.
            let left = seen.left.is_some_and(|l| l + rules.slack < deadline || stood > 0);
            run.killed_within(proxy, sent.saturating_sub(rules.slack), until) || left
        };
        match (finals.first(), broken) {
            (Some((at, _)), _) if *at > latest => {
                if !excused(*at) {
                    let late = (at - deadline) / 1_000;
                    verdict.broke(1, *at, format!("request {id} answered {late} ms after its deadline"));
                }
            }
            (Some(_), _) => {}
            (None, Some((at, _))) => {
                if !excused(*at + rules.slack) && !rules.classes.get(class).is_some_and(|c| c.stream) {
                    verdict.broke(1, *at, format!("request {id}: closed by proxy {proxy} without an answer"));
                }
            }
            // The run's last requests may still have had time.
            (None, None) if run.last < latest => {}
            (None, None) => {
                if !excused(latest) {
                    verdict.broke(1, latest, format!("request {id} got no answer from proxy {proxy}"));
                }
            }
        }
        if let Some((answered, _)) = finals.first() {
            let after =
                seen.arrivals.iter().map(|&i| run.attempts[i].at).find(|at| *at > answered + rules.slack);
            if let Some(at) = after {
                let late = (at - answered) / 1_000;
                verdict.broke(1, at, format!("request {id} sent to a server {late} ms after its answer"));
            }
        }
    }
    for (at, proxy) in &run.surplus {
        verdict.broke(1, *at, format!("proxy {proxy} wrote bytes that belong to no answer"));
    }
}
