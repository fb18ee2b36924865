/// What is known of the time that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime {
    /// Time until the deadline of its caller or its route, whichever is earlier.
    pub left_ms: u64,
    /// Whether its caller may send it again if no answer comes.
    pub may_run_again: bool,
    /// Longest time that one of the last requests of its route took; `None` if none is known.
    pub longest_recent_ms: Option<u64>,
}

/// Returns whether a request is answered before the instance exits, in `until_exit_ms`.
///
/// A request that runs at most once has to fit with all the time that it has left: its caller
/// could never know whether it ran. One that may run again has to fit by what such requests took
/// lately, and half as much again, as they vary.
pub fn can_finish(request: &RequestTime, until_exit_ms: u64) -> bool {
    let usual_ms = request
        .longest_recent_ms
        .filter(|_| request.may_run_again)
        .map_or(request.left_ms, |longest_ms| longest_ms + longest_ms / 2);
    usual_ms.min(request.left_ms) <= until_exit_ms
}
