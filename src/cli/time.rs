//! Formatting of wall-clock times.

/// Length of a day in milliseconds.
const DAY_MS: u64 = 86_400_000;

/// Days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar.
const UNIX_EPOCH_DAYS: u64 = 719_468;

/// Days in 400 years, the period after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// Formats a time as UTC, such as `2026-03-01 09:23:12Z`. 0 stands for no time and
/// gives `-`.
pub fn format_utc(unix_ms: u64) -> String {
    if unix_ms == 0 {
        return "-".to_owned();
    }
    let (year, month, day) = civil_date(unix_ms / DAY_MS);
    let seconds = unix_ms % DAY_MS / 1_000;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// Year, month and day of a day that is counted from 1970-01-01. The computation starts
/// each year in March, so that a leap day is the last day of its year.
fn civil_date(unix_days: u64) -> (u64, u64, u64) {
    let days = unix_days + UNIX_EPOCH_DAYS;
    let (era, day_of_era) = (days / ERA_DAYS, days % ERA_DAYS);
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096 - day_of_era / 36_524;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = 400 * era + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
