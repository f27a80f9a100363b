//! Formatting and parsing of points in time (UTC) and of durations.

const DAY_MS: u64 = 86_400_000;

/// Formats the time of day as `12:34:56.789`.
#[must_use]
pub fn clock_text(unix_ms: u64) -> String {
    let in_day = unix_ms % DAY_MS;
    let (hours, minutes) = (in_day / 3_600_000, in_day / 60_000 % 60);
    let (seconds, millis) = (in_day / 1_000 % 60, in_day % 1_000);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}")
}

/// Formats the date as `2026-03-04`.
#[must_use]
pub fn date_text(unix_ms: u64) -> String {
    let (year, month, day) = civil_date(unix_ms / DAY_MS);
    format!("{year:04}-{month:02}-{day:02}")
}

/// Formats date and time as `2026-03-04T12:34:56.789Z`.
#[must_use]
pub fn full_text(unix_ms: u64) -> String {
    format!("{}T{}Z", date_text(unix_ms), clock_text(unix_ms))
}

/// Formats a duration as `850 ms`, `4.2 s`, `3 min`, `2.5 h` or `3 d`; about two digits are enough
/// to read at a glance.
#[must_use]
pub fn span_text(span_ms: u64) -> String {
    match span_ms {
        0..1_000 => format!("{span_ms} ms"),
        1_000..60_000 => format!("{}.{} s", span_ms / 1_000, span_ms % 1_000 / 100),
        60_000..3_600_000 => format!("{} min", span_ms / 60_000),
        3_600_000..172_800_000 => format!(
            "{}.{} h",
            span_ms / 3_600_000,
            span_ms % 3_600_000 / 360_000
        ),
        _ => format!("{} d", span_ms / DAY_MS),
    }
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// Internally the year begins in March, so that the leap day is its last day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_IN_ERA: u64 = 146_097;
    const DAYS_BEFORE_1970: u64 = 719_468;
    let shifted = days + DAYS_BEFORE_1970;
    let (era, day_of_era) = (shifted / DAYS_IN_ERA, shifted % DAYS_IN_ERA);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Parses `2026-03-04T12:34:56Z`, with or without milliseconds, as milliseconds since 1970.
#[must_use]
pub fn parse_full(text: &str) -> Option<u64> {
    let (date, clock) = text.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = numbers(date, '-')?;
    let (whole, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let [hours, minutes, seconds] = numbers(whole, ':')?;
    if fraction.len() > 3
        || !(1..=12).contains(&month)
        || hours > 23
        || minutes > 59
        || seconds > 59
    {
        return None;
    }
    let millis: u64 = format!("{fraction:0<3}").parse().ok()?;
    let days = days_from_civil(year, month, day)?;
    Some(days * DAY_MS + ((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

fn numbers(text: &str, separator: char) -> Option<[u64; 3]> {
    let mut parts = text.split(separator);
    let mut numbers = [0; 3];
    for number in &mut numbers {
        *number = parts.next()?.parse().ok()?;
    }
    parts.next().is_none().then_some(numbers)
}

fn days_from_civil(year: u64, month: u64, day: u64) -> Option<u64> {
    if !(1970..10_000).contains(&year) {
        return None;
    }
    let first_guess = (year - 1970) * 365 + (month - 1) * 28 + day - 1;
    (first_guess..first_guess + 2_200).find(|days| civil_date(*days) == (year, month, day))
}
