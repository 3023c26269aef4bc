//! What proxies tell each other of servers, so that a server that answers nobody is set aside before each has found that out
//! for itself: in a large fleet a proxy meets a server once in ten seconds to a minute.
//!
//! - **Words.** Each member sends what its own latest attempts at a server came to, and how long ago that was, to the server's
//!   *collectors*: three members that all draw alike (rendezvous hashing, Thaler and Ravishankar 1998).
//! - **Verdicts.** A collector has a server set aside while nearly all of the members that met it last found it bad: what
//!   others saw before them is past. It tells all members its whole list, again and again; a list that is not renewed lapses.
//! - **Belief.** A member sets a server aside where most of its collectors say so, unless its own attempts lately went well
//!   there: own evidence goes first. Of a zone no more than a stated share is set aside. Now and then, by a draw that is
//!   one in the fleet's size, it tries one all the same, so that the fleet goes on looking.
//!
//! One member can say what it likes: it is one reporter of several that are needed, and one collector of two. A member that
//! finds most servers bad suspects its own uplink and says nothing. Where messages are lost, words and verdicts lapse, and
//! each is left with its own evidence.

use crate::rights::Micros;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A server's identity, the same at all members.
pub type ServerId = u64;

/// Collectors of a server, where the fleet has as many members.
const COLLECTORS: usize = 3;
/// A word or verdict of a payload takes so much.
const WORD: usize = 12;
const HEAD: usize = 14;
const LAYOUT: u8 = 1;
/// The most bytes of a payload.
pub const PAYLOAD_MOST: usize = 240;
/// Words of one payload; servers of one verdict list.
const WORDS_MOST: usize = (PAYLOAD_MOST - HEAD) / WORD;
/// The unit of a word's age.
const AGE: Micros = 20_000;
/// A word on a server goes out again only after so many turns, unless it turned.
const PAUSE: u64 = 5;
/// A word is sent so often, and a changed list goes round so often, as either may be lost.
const SENDS: u8 = 2;
/// Bad attempts on end that outweigh those that went well in the same window.
const STREAK: u16 = 3;
/// Servers met lately of which more than half are bad make a member suspect itself, if they are so many.
const MET_LEAST: usize = 3;

/// What all members must have alike, but for the position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How many members there are, 1 or more.
    pub members: usize,
    /// This one's number, below that.
    pub position: usize,
    /// Own attempts count so long.
    pub window: Micros,
    /// A member's word counts so long at a collector.
    pub stale: Micros,
    /// A server is set aside when so many members that met it last all found it bad, two or more of which never reached it ...
    pub unreached_least: usize,
    /// ... or when of so many all but one found it bad.
    pub failed_least: usize,
    /// Of a zone's servers so many may be set aside, in percent.
    pub aside_percent: usize,
    /// In each such span one member, on average, may use a server that is set aside. Where members are thin none does for long:
    /// there words go stale, and a few attempts find out anew.
    pub retry_every: Micros,
    /// Between two calls of [`Servers::turn`].
    pub turn: Micros,
    /// Datagrams a call.
    pub sends: usize,
}

/// How an attempt went, as far as the server goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    /// It answered well, or turned the request away in good order.
    Well,
    /// It failed the request, or said nothing in time.
    Failed,
    /// There was no connection to be had.
    Unreached,
}

/// Attempts within a window that went well, and those since the last of them that did not; each stays at its bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Word {
    well: u8,
    failed: u8,
    unreached: u8,
}

impl Word {
    fn add(&mut self, went: Went) {
        match went {
            Went::Well => *self = Word { well: self.well.saturating_add(1), failed: 0, unreached: 0 },
            Went::Failed => self.failed = self.failed.saturating_add(1),
            Went::Unreached => self.unreached = self.unreached.saturating_add(1),
        }
    }

    /// Whether the latest attempt went well.
    fn ends_well(self) -> bool {
        self.failed == 0 && self.unreached == 0
    }

    fn is_bad(self) -> bool {
        let bad = u16::from(self.failed) + u16::from(self.unreached);
        bad > 0 && (self.well == 0 || bad >= STREAK)
    }
}

/// A server on the list, and what own attempts there came to.
#[derive(Clone, Debug)]
struct Known {
    zone: u16,
    collectors: Vec<usize>,
    /// What own attempts came to since the last span of a window without one, and when the latest ended.
    own: Word,
    met_at: Option<Micros>,
    /// What was last sent to its collectors: when, of which moment, whether bad, how often.
    sent: Option<(Micros, Micros, bool, u8)>,
}

/// What a member said last: its life and message number, its words here, its verdicts.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<(u64, u32)>,
    aside: BTreeSet<ServerId>,
    aside_until: Micros,
}

/// What one member knows of servers.
#[derive(Clone, Debug)]
pub struct Servers {
    set: Settings,
    life: u64,
    number: u32,
    known: BTreeMap<ServerId, Known>,
    peers: Vec<Peer>,
    /// Words of others on servers that this member collects for: by server and member, with the moment that they are of.
    words: BTreeMap<(ServerId, usize), (Micros, Word)>,
    /// What this member told last as a collector, how many members have yet to hear it, and who is next.
    told: BTreeSet<ServerId>,
    to_hear: usize,
    next: usize,
    round_at: Micros,
}

impl Servers {
    /// A life that begins now. `life` must be over those of this member's earlier lives.
    pub fn new(now: Micros, set: Settings, life: u64) -> Servers {
        let members = set.members.max(1);
        let set = Settings { members, position: set.position.min(members - 1), ..set };
        Servers {
            life,
            number: 0,
            known: BTreeMap::new(),
            peers: vec![Peer::default(); members],
            words: BTreeMap::new(),
            told: BTreeSet::new(),
            to_hear: 0,
            next: (set.position + 1) % members,
            round_at: now,
            set,
        }
    }

    /// The servers there are, with their zones. What is known of others is forgotten: memory is bounded by the list.
    pub fn list(&mut self, servers: &[(ServerId, u16)]) {
        let mut before = std::mem::take(&mut self.known);
        for &(id, zone) in servers {
            let fresh = || Known {
                zone,
                collectors: self.collectors(id),
                own: Word::default(),
                met_at: None,
                sent: None,
            };
            let known = Known { zone, ..before.remove(&id).unwrap_or_else(fresh) };
            self.known.insert(id, known);
        }
        let known = &self.known;
        self.words.retain(|(id, _), _| known.contains_key(id));
        self.peers.iter_mut().for_each(|p| p.aside.retain(|id| known.contains_key(id)));
    }

    /// The members that collect words on a server: the highest by a hash of both.
    fn collectors(&self, id: ServerId) -> Vec<usize> {
        let weight = |member: &usize| xxh3_64_with_seed(&id.to_le_bytes(), *member as u64);
        let mut members: Vec<usize> = (0..self.set.members).collect();
        members.sort_unstable_by_key(|m| std::cmp::Reverse((weight(m), *m)));
        members.truncate(COLLECTORS);
        members
    }

    /// An own attempt has ended.
    pub fn note(&mut self, now: Micros, id: ServerId, went: Went) {
        let window = self.set.window;
        let Some(known) = self.known.get_mut(&id) else { return };
        if known.word(now, window).is_none() {
            known.own = Word::default();
        }
        known.own.add(went);
        known.met_at = Some(now);
    }

    /// Whether most of the servers met lately look bad: then it is likely this member that is.
    pub fn suspects_itself(&self, now: Micros) -> bool {
        let met = self.known.values().filter_map(|k| k.word(now, self.set.window));
        let (bad, all) = met.fold((0, 0), |(bad, all), w| (bad + usize::from(w.is_bad()), all + 1));
        all >= MET_LEAST && 2 * bad > all
    }

    /// Payloads to send now, by member: at most as many as the settings have. A round of verdicts, which is rare, goes before
    /// words; calls are a turn apart.
    pub fn turn(&mut self, now: Micros) -> Vec<(usize, Vec<u8>)> {
        let trusted = !self.suspects_itself(now);
        let aside = self.judged(now, trusted);
        if aside != self.told || (!aside.is_empty() && now >= self.round_at) {
            // All hear a change, also that nothing is set aside any more, and hear again before the list lapses.
            let rounds = if aside == self.told { 1 } else { usize::from(SENDS) };
            (self.told, self.to_hear) = (aside, rounds * (self.set.members - 1));
            self.round_at = now + self.stands() / 3;
        }
        let mut out = Vec::new();
        let verdicts: Vec<_> = self.told.iter().map(|&id| (id, Word::default())).collect();
        while out.len() < self.set.sends && self.to_hear > 0 {
            if self.next != self.set.position {
                self.to_hear -= 1;
                let payload = self.write(now, true, &verdicts);
                out.push((self.next, payload));
            }
            self.next = (self.next + 1) % self.set.members;
        }
        // One that suspects itself says nothing of its own.
        let room = if trusted { self.set.sends - out.len() } else { 0 };
        out.extend(self.words_to_send(now, room));
        out
    }

    /// A verdict list stands for three rounds to all members, so that it outlives two that are lost.
    fn stands(&self) -> Micros {
        let calls = self.set.members.div_ceil(self.set.sends.max(1)) as u64 + 5;
        3 * calls * self.set.turn
    }

    /// Words that are new to their collectors, by collector, in at most `room` payloads.
    fn words_to_send(&mut self, now: Micros, room: usize) -> Vec<(usize, Vec<u8>)> {
        if room == 0 {
            return Vec::new();
        }
        let (window, pause, position) = (self.set.window, PAUSE * self.set.turn, self.set.position);
        let mut due: Vec<(bool, ServerId, Word)> = Vec::new();
        for (&id, known) in &self.known {
            let (Some(word), Some(met)) = (known.word(now, window), known.met_at) else { continue };
            let news = known.sent.is_none_or(|(at, of, bad, times)| {
                let again = times < SENDS;
                bad != word.is_bad() || ((of < met || again) && now >= at + pause)
            });
            if news {
                due.push((!word.is_bad(), id, word));
            }
        }
        // Bad ones first: what does not fit waits for the next turn.
        due.sort_unstable_by_key(|(well, id, _)| (*well, *id));
        let mut by_member: BTreeMap<usize, Vec<(ServerId, Word)>> = BTreeMap::new();
        for (_, id, word) in due {
            let Some(known) = self.known.get_mut(&id) else { continue };
            let others: Vec<usize> = known.collectors.iter().copied().filter(|c| *c != position).collect();
            let new = others.iter().filter(|c| !by_member.contains_key(c)).count();
            let full = |c: &usize| by_member.get(c).is_some_and(|w| w.len() >= WORDS_MOST);
            if by_member.len() + new > room || others.iter().any(full) {
                continue;
            }
            let bad = word.is_bad();
            let again = known.sent.filter(|s| Some(s.1) == known.met_at && s.2 == bad).map_or(1, |s| s.3 + 1);
            known.sent = known.met_at.map(|met| (now, met, bad, again));
            others.into_iter().for_each(|c| by_member.entry(c).or_default().push((id, word)));
        }
        by_member.into_iter().map(|(to, words)| (to, self.write(now, false, &words))).collect()
    }

    /// Layout 1 and kind (1 byte), life (8), number (4), count (1), then server (8), three counts (3) and age (1) each.
    fn write(&mut self, now: Micros, verdicts: bool, words: &[(ServerId, Word)]) -> Vec<u8> {
        self.number = self.number.wrapping_add(1);
        let words = &words[..words.len().min(WORDS_MOST)];
        let mut out = vec![LAYOUT | if verdicts { 0x80 } else { 0 }];
        out.extend_from_slice(&self.life.to_le_bytes());
        out.extend_from_slice(&self.number.to_le_bytes());
        out.push(words.len() as u8);
        for (id, word) in words {
            out.extend_from_slice(&id.to_le_bytes());
            let met = self.known.get(id).and_then(|k| k.met_at).unwrap_or(now);
            let age = (now.saturating_sub(met) / AGE).min(u64::from(u8::MAX)) as u8;
            out.extend_from_slice(&[word.well, word.failed, word.unreached, age]);
        }
        out
    }

    /// A member's message. What does not read, comes from an earlier life, or is older than what was heard changes nothing.
    pub fn on_message(&mut self, now: Micros, from: usize, payload: &[u8]) {
        let Some((head, rest)) = payload.split_at_checked(HEAD) else { return };
        let count = usize::from(head[13]);
        let reads = head[0] & 0x7f == LAYOUT && count <= WORDS_MOST && rest.len() == count * WORD;
        if !reads || from >= self.set.members || from == self.set.position {
            return;
        }
        let life = head[1..9].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
        let number = head[9..13].iter().rev().fold(0, |n, b| n << 8 | u32::from(*b));
        if self.peers[from].heard.is_some_and(|heard| (life, number) <= heard) {
            return;
        }
        self.peers[from].heard = Some((life, number));
        let word = |b: &[u8]| {
            let id = b[..8].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
            let of = now.saturating_sub(u64::from(b[11]) * AGE);
            (id, of, Word { well: b[8], failed: b[9], unreached: b[10] })
        };
        let words: Vec<(ServerId, Micros, Word)> = rest.chunks_exact(WORD).map(word).collect();
        let collects =
            |member: usize, id| self.known.get(&id).is_some_and(|k| k.collectors.contains(&member));
        if head[0] & 0x80 != 0 {
            let aside = words.iter().map(|w| w.0).filter(|id| collects(from, *id)).collect();
            let until = now + self.stands();
            (self.peers[from].aside, self.peers[from].aside_until) = (aside, until);
        } else {
            let mine = words.into_iter().filter(|(id, ..)| collects(self.set.position, *id));
            let mine: Vec<_> = mine.map(|(id, of, word)| ((id, from), (of, word))).collect();
            self.words.extend(mine);
        }
    }

    /// What this member has set aside as a collector: the worst first, as many as a list holds. Own attempts count if they
    /// are `trusted`.
    fn judged(&mut self, now: Micros, trusted: bool) -> BTreeSet<ServerId> {
        let stale = self.set.stale;
        self.words.retain(|_, (of, _)| now < *of + stale);
        let mut judged: Vec<(usize, ServerId)> = Vec::new();
        for (&id, known) in self.known.iter().filter(|(_, k)| k.collectors.contains(&self.set.position)) {
            let of_others = self.words.range((id, 0)..=(id, usize::MAX)).map(|(_, word)| *word);
            let own = known.word(now, self.set.window).filter(|_| trusted).zip(known.met_at);
            let mut words: Vec<(Micros, Word)> =
                of_others.chain(own.map(|(word, met)| (met, word))).collect();
            words.sort_unstable_by_key(|(of, _)| std::cmp::Reverse(*of));
            let latest = |n: usize| words.iter().take(n).filter(|(_, w)| w.is_bad());
            let (few, many) = (self.set.unreached_least, self.set.failed_least);
            let unreached = latest(few).filter(|(_, w)| w.unreached > 0).count();
            if (latest(few).count() == few && unreached >= 2) || latest(many).count() + 1 >= many {
                judged.push((latest(usize::MAX).count(), id));
            }
        }
        judged.sort_unstable_by(|a, b| b.cmp(a));
        judged.into_iter().take(WORDS_MOST).map(|(_, id)| id).collect()
    }

    /// The servers that are set aside here now.
    pub fn aside(&self, now: Micros) -> BTreeSet<ServerId> {
        let mut zones: BTreeMap<u16, (usize, Vec<(usize, ServerId)>)> = BTreeMap::new();
        for (&id, known) in &self.known {
            let zone = zones.entry(known.zone).or_default();
            zone.0 += 1;
            let says = |member: &&usize| match **member == self.set.position {
                true => self.told.contains(&id),
                false => {
                    let peer = &self.peers[**member];
                    now < peer.aside_until && peer.aside.contains(&id)
                }
            };
            let votes = known.collectors.iter().filter(says).count();
            if 2 * votes > known.collectors.len()
                && !known.word(now, self.set.window).is_some_and(Word::ends_well)
            {
                zone.1.push((votes, id));
            }
        }
        let mut aside = BTreeSet::new();
        for (all, mut found) in zones.into_values() {
            found.sort_unstable_by(|a, b| b.cmp(a));
            found.truncate(all * self.set.aside_percent / 100);
            aside.extend(found.into_iter().map(|(_, id)| id).filter(|id| !self.retries(now, *id)));
        }
        aside
    }

    /// Whether it is this member's turn to try a server that is set aside: one in the fleet's size, drawn anew each span by
    /// each for itself, so that no clocks need agree.
    fn retries(&self, now: Micros, id: ServerId) -> bool {
        let span = now / self.set.retry_every.max(1);
        let draw =
            xxh3_64_with_seed(&[id.to_le_bytes(), span.to_le_bytes()].concat(), self.set.position as u64);
        draw.is_multiple_of(self.set.members as u64)
    }
}

impl Known {
    /// What own attempts came to, if the latest is of this window.
    fn word(&self, now: Micros, window: Micros) -> Option<Word> {
        self.met_at.filter(|met| now < met + window).map(|_| self.own)
    }
}
