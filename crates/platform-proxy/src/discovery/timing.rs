//! The time-outs and intervals of discovery. Several are counted in tenths of the longest time that the
//! settings let a proxy go without an answer, within [`MIN_POLL_INTERVAL`] and [`MAX_POLL_INTERVAL`].

use violetseam::interface::Micros;

/// The shortest time without an answer that the intervals below are counted from.
pub(super) const MIN_POLL_INTERVAL: Micros = 500_000;
/// The longest time without an answer that the intervals below are counted from.
pub(super) const MAX_POLL_INTERVAL: Micros = 10_000_000;
/// A watch waits at the service for up to this many tenths; the engine asks again after seven tenths. What a
/// watch misses that has fallen silent counts as received 2 s after its wait is over or 6 s after it fell
/// silent: 4 s of waiting give both.
pub(super) const WATCH_WAIT_TENTHS: Micros = 4;
/// A new watch costs the service work, and one that it has declined costs it as much; only a watch that is
/// renewed at once is free. So proxies that all start, lose their watches or move together spread their next
/// queries: the first query of a process within this many tenths ...
pub(super) const START_SPREAD_TENTHS: Micros = 4;
/// ... the first one at another address within this many ...
pub(super) const MOVE_SPREAD_TENTHS: Micros = 2;
/// ... and one after a failure after about this many (half to one and a half times).
pub(super) const RETRY_INTERVAL_TENTHS: Micros = 3;
/// Discovery is one service with one sequence of versions, so that after a move of its address the version
/// held stays valid. Should a service behind another address count otherwise, the list would stay wrong: the
/// full list is fetched once more, at a time drawn between this many tenths ...
pub(super) const VERIFY_FROM_TENTHS: Micros = 100;
/// ... and this many, so late and so far apart that it adds little load to the service.
pub(super) const VERIFY_UNTIL_TENTHS: Micros = 400;
/// The first watch at an address waits no longer than this: its answer soon tells where the service's
/// versions stand.
pub(super) const MAX_FIRST_WATCH_WAIT: Micros = 1_000_000;
/// The time-out of a query for the full list, and of a new watch beyond its wait. The service itself declines
/// a query that waited in its queue for too long; one that is abandoned before that costs it as much, and is
/// made again.
pub(super) const QUERY_TIMEOUT: Micros = 3_500_000;
/// A renewed watch without an answer for this span beyond its wait is dead ...
pub(super) const RENEWED_WATCH_GRACE: Micros = 1_500_000;
/// ... and another one is opened after about this span: the lease on the list ends soon.
pub(super) const WATCH_RETRY_INTERVAL: Micros = 300_000;
/// Each failed query doubles the wait for the next one, up to this many times: a service that handles its
/// queries one by one and has too many spends its time on queries that have waited for too long, until fewer
/// arrive.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// Where the lease on the list would end earlier, a query is made this long before the lease ends, or up to
/// half as long again: it may wait in the service's queue for seconds.
pub(super) const LEASE_RENEWAL_MARGIN: Micros = 2_000_000;
/// Where lists are pushed, what the service sends counts as received at once, and queries cost it nothing: a
/// failed one is made again after about this span.
pub(super) const PUSHED_RETRY_INTERVAL: Micros = 300_000;
/// Where lists are pushed, a watch is replaced after seven tenths of this span without an answer.
pub(crate) const PUSHED_POLL_INTERVAL_MAX: Micros = 5_000_000;
/// The retry interval without any list, where nothing can be served: shorter than the engine's back-off, so
/// that a process that starts while the service is down is ready soon after that.
pub(super) const EMPTY_LIST_RETRY_INTERVAL: Micros = 1_000_000;
/// A watch that is answered without news earlier than this does not wait: renewing it would be a busy loop.
pub(super) const MIN_WATCH_DURATION: Micros = 100_000;
