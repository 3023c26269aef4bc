//! The time-outs and intervals of discovery. Several are given in tenths of the poll interval: the longest
//! time that the settings allow a proxy to go without a response, clamped to [`MIN_POLL_INTERVAL`] and
//! [`MAX_POLL_INTERVAL`].

use violetseam::interface::Micros;

/// The minimum poll interval that the times below are derived from.
pub(super) const MIN_POLL_INTERVAL: Micros = 500_000;
/// The maximum poll interval that the times below are derived from.
pub(super) const MAX_POLL_INTERVAL: Micros = 10_000_000;
/// How long a watch waits at the service at most, in tenths of the poll interval; the engine requests the
/// list again after seven tenths. If a watch fails silently, the changes that it misses count as received 2 s
/// after its wait has ended, or 6 s after it failed. With a wait of 4 s both times are the same.
pub(super) const WATCH_WAIT_TENTHS: Micros = 4;
/// The first query of a process is made within this many tenths of the poll interval. A new watch costs the
/// service work, and a watch that it declines costs as much; only a watch that is renewed immediately is
/// free. Proxies that start, lose their watches or move at the same time therefore spread their next queries
/// over time.
pub(super) const START_SPREAD_TENTHS: Micros = 4;
/// The first query at another address is made within this many tenths of the poll interval.
pub(super) const MOVE_SPREAD_TENTHS: Micros = 2;
/// The query after a failed one is made after this many tenths of the poll interval on average; jitter varies
/// the time from half to one and a half times that.
pub(super) const RETRY_INTERVAL_TENTHS: Micros = 3;
/// After a move to another address the full list is fetched once more, at a random time that is at least this
/// many tenths of the poll interval after the move. Discovery is one service with one sequence of versions,
/// so the local version stays valid after a move. If the service at the new address counted its versions
/// differently, however, the local list would stay wrong without this query.
pub(super) const VERIFY_FROM_TENTHS: Micros = 100;
/// The end of the range in which the full list is fetched once more after a move, in tenths of the poll
/// interval. The range is so late and so wide that these queries add little load to the service.
pub(super) const VERIFY_UNTIL_TENTHS: Micros = 400;
/// The longest wait of the first watch at an address, whose response shows early which version the service
/// has.
pub(super) const MAX_FIRST_WATCH_WAIT: Micros = 1_000_000;
/// The time-out of a query for the full list, and of a new watch in addition to its wait. The service itself
/// declines a query that has waited in its queue for too long. Abandoning a query before that does not save
/// the service any work, and the query has to be made again.
pub(super) const QUERY_TIMEOUT: Micros = 3_500_000;
/// A renewed watch is considered dead if it has no response this long after its wait has ended.
pub(super) const RENEWED_WATCH_GRACE: Micros = 1_500_000;
/// After a dead watch or an incomplete list, the next query is made after this interval before jitter,
/// because the lease on the list ends soon.
pub(super) const WATCH_RETRY_INTERVAL: Micros = 300_000;
/// The interval before jitter between a lost response and the query that asks for it again; it doubles with
/// each such query that fails. A watch that is asked for again within 200 ms goes on as the one before and
/// costs the service nothing.
pub(super) const LOST_RESPONSE_RETRY_INTERVAL: Micros = 80_000;
/// How many queries ask again for a lost response at these short intervals. All of them fit into the time for
/// which the list may be used after the loss.
pub(super) const MAX_LOST_RESPONSE_RETRIES: u32 = 4;
/// How many times the interval before the next query is doubled at most; it is doubled once after each failed
/// query. A service that handles its queries one by one and receives too many of them spends its time on
/// queries that have already waited for too long, until fewer queries arrive.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 1;
/// If the lease on the list would end before the next query, the query is made about this long before the end
/// of the lease (jitter varies the time by up to a quarter), because it may wait in the service's queue for
/// seconds.
pub(super) const LEASE_RENEWAL_MARGIN: Micros = 2_000_000;
/// The interval before jitter after a failed query if lists are pushed. What the service sends then counts as
/// received immediately, and queries cost it nothing.
pub(super) const PUSHED_RETRY_INTERVAL: Micros = 300_000;
/// The maximum poll interval if lists are pushed. The engine replaces a watch after seven tenths of it
/// without a response.
pub(crate) const PUSHED_POLL_INTERVAL_MAX: Micros = 5_000_000;
/// The interval before jitter after a failed query while the server list is empty and no request can be
/// served. It is shorter than the engine's back-off, so that a process that starts while the service is down
/// is ready soon after the service is back.
pub(super) const EMPTY_LIST_RETRY_INTERVAL: Micros = 1_000_000;
/// A watch that is answered without changes earlier than this does not wait at the service. Renewing it
/// immediately would be a busy loop.
pub(super) const MIN_WATCH_DURATION: Micros = 100_000;
