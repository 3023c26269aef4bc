//! Rule 2: no effect happens twice.

use crate::record::{Answer, Effect, End, Group, Rules};
use crate::{Attempt, Run, Verdict};

pub(crate) fn check(rules: &Rules, run: &Run<'_>, verdict: &mut Verdict) {
    for (&id, seen) in &run.requests {
        let attempts: Vec<&Attempt<'_>> = seen.arrivals.iter().map(|&i| &run.attempts[i]).collect();
        let Some(class) = attempts.first().and_then(|a| rules.classes.get(a.is.class)) else { continue };
        verdict.look(2);
        for (i, later) in attempts.iter().enumerate().skip(1) {
            for earlier in &attempts[..i] {
                let proven = matches!(earlier.end, Some((at, End::NotRun)) if at <= later.at);
                // A cancel reaches its server a little after the next attempt may reach another.
                let out = earlier.end.is_none_or(|(at, _)| at > later.at + rules.slack);
                if out && !rules.second_copies {
                    verdict.broke(2, later.at, format!("request {id} has two attempts out"));
                }
                if proven {
                    continue;
                }
                match class.effect {
                    Effect::Safe => {}
                    Effect::Unsafe => {
                        verdict.broke(
                            2,
                            later.at,
                            format!("unsafe request {id} sent again after it may have run"),
                        );
                    }
                    Effect::Keyed(group) => {
                        let same = match group {
                            Group::All => true,
                            Group::Zone => earlier.is.place.0 == later.is.place.0,
                            Group::Cell => earlier.is.place.1 == later.is.place.1,
                        };
                        if !same {
                            verdict.broke(2, later.at, format!("keyed request {id} sent outside its group"));
                        }
                        if later.at > earlier.at + class.window + rules.slack {
                            verdict.broke(
                                2,
                                later.at,
                                format!("keyed request {id} sent again past its window"),
                            );
                        }
                    }
                }
            }
        }
        let refused = seen.answers.iter().find(|a| a.1 == Answer::Refused);
        let harmless = matches!(class.effect, Effect::Safe | Effect::Keyed(Group::All));
        if let Some((at, _)) = refused.filter(|_| !harmless) {
            let may_have_run = attempts.iter().any(|a| !matches!(a.end, Some((_, End::NotRun))));
            if may_have_run {
                verdict.broke(2, *at, format!("request {id} refused although it may have run"));
            }
        }
    }
}
