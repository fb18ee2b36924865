use {
    httpdate::parse_http_date,
    std::time::{Duration, SystemTime},
};

/// Returns the time in milliseconds for which the sender of an answer asks to wait, by the values
/// of its `Retry-After`, as RFC 9110 says in section 10.2.3, but that seconds may have a fraction.
/// The longest value counts; one that can't be read counts as missing.
///
/// A date is relative to `answered`, the `Date` of the answer: the sender's clock may differ
/// from the own one. Without that it is relative to the latter, `wall_ms` in Unix milliseconds.
pub fn retry_after_ms<'a>(
    values: impl IntoIterator<Item = &'a str>,
    answered: Option<&str>,
    wall_ms: u64,
) -> Option<u64> {
    let waits = values.into_iter().filter_map(|value| {
        let value = value.trim();
        seconds_as_ms(value).or_else(|| date_as_ms(value, answered, wall_ms))
    });
    waits.max()
}

fn seconds_as_ms(text: &str) -> Option<u64> {
    let seconds: f64 = text.parse().ok()?;
    // The cast saturates.
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0).ceil() as u64)
}

fn date_as_ms(text: &str, answered: Option<&str>, wall_ms: u64) -> Option<u64> {
    let until = parse_http_date(text).ok()?;
    let answered = answered.and_then(|answered| parse_http_date(answered).ok());
    let answered =
        answered.unwrap_or_else(|| SystemTime::UNIX_EPOCH + Duration::from_millis(wall_ms));
    let wait = until.duration_since(answered).unwrap_or_default();
    u64::try_from(wait.as_millis()).ok()
}
