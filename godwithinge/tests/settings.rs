//! All errors in a settings file are reported, each with file, section, key and allowed values.

use godwithinge::settings::Settings;
use rstest::rstest;
use standin::fleet::{Deployment, Name, Size};
use std::{path::Path, time::Duration};

const VALID: &str = "
[daemon]
host = e1
domain = a
region = r
listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
operator_token = operators
fleet_key = fleetkeys
[platform]
address = 127.0.0.1:1
timeout = 250ms
[pool clerk]
kind = service
idempotent = no
[pool tailor]
kind = engine
model = m
idempotent = yes
max_tokens = 64
";

#[test]
fn valid_settings_are_read() {
    let settings = Settings::from_str("good.ini", VALID).expect("valid settings");
    assert_eq!(settings.platform.timeout, Duration::from_millis(250));
    assert_eq!(settings.entry.max_queue_len, 1024);
    assert_eq!(settings.pools.len(), 2);
    assert!(!format!("{settings:?}").contains("fleetkeys"));
}

#[rstest]
#[case::unknown_key(
    "idempotent = no",
    "idempotent = no\nhue = red",
    "[pool clerk]",
    "hue",
    "allowed: kind"
)]
#[case::unknown_section(
    "[platform]",
    "[shelf]\na = 1\n[platform]",
    "[shelf]",
    "",
    "allowed: daemon"
)]
#[case::lower_bound_not_below_upper(
    "[platform]",
    "[planner]\nraise_at = 50\nlower_at = 50\n[platform]",
    "[planner]",
    "lower_at",
    "from 0 to 49"
)]
#[case::order_timeout_above_half_lease(
    "[platform]",
    "[planner]\nlease = 2s\norder_timeout = 2s\n[platform]",
    "[planner]",
    "order_timeout",
    "to 1s"
)]
#[case::invalid_adapter_name(
    "[platform]",
    "[model m]\nadapters = a b\n[platform]",
    "[model m]",
    "adapters",
    "comma-separated names"
)]
#[case::missing_key("host = e1\n", "", "[daemon]", "host", "allowed: letters")]
#[case::out_of_range(
    "max_tokens = 64",
    "max_tokens = 0",
    "[pool tailor]",
    "max_tokens",
    "from 1 to"
)]
#[case::missing_unit(
    "timeout = 250ms",
    "timeout = 250",
    "[platform]",
    "timeout",
    "unit ms, s, m, h or d"
)]
#[case::host_name_in_address(
    "address = 127.0.0.1:1",
    "address = here:1",
    "[platform]",
    "address",
    "IP address"
)]
#[case::invalid_flag(
    "idempotent = no",
    "idempotent = maybe",
    "[pool clerk]",
    "idempotent",
    "yes or no"
)]
#[case::invalid_kind(
    "kind = service",
    "kind = oracle",
    "[pool clerk]",
    "kind",
    "engine or service"
)]
#[case::duplicate_key("host = e1", "host = e1\nhost = e2", "[daemon]", "host", "once")]
#[case::short_secret("fleetkeys", "fleet", "[daemon]", "fleet_key", "at least 8")]
fn error_names_location_and_allowed_values(
    #[case] from: &str,
    #[case] to: &str,
    #[case] section: &str,
    #[case] key: &str,
    #[case] allowed: &str,
) {
    let text = VALID.replacen(from, to, 1);
    let errors = Settings::from_str("bad.ini", &text).expect_err("invalid settings");
    let shown = errors.to_string();
    assert_eq!(errors.as_slice().len(), 1, "{shown}");
    assert!(shown.starts_with("bad.ini: "), "{shown}");
    assert!(
        shown.contains(section) && shown.contains(key) && shown.contains(allowed),
        "{shown}"
    );
    assert!(!shown.contains("\"fleet\""), "{shown}");
}

#[test]
fn all_errors_are_reported() {
    let text = VALID
        .replace("host = e1", "host = e 1")
        .replace("timeout = 250ms", "timeout = 1")
        .replace("kind = service", "kind = x");
    let errors = Settings::from_str("bad.ini", &text).expect_err("invalid settings");
    assert_eq!(errors.as_slice().len(), 3, "{errors}");
}

/// The shipped settings must define the same pools as the deployments in crate `standin`.
#[rstest]
#[case::wasfi(Name::Wasfi, "../settings/wasfi.ini")]
#[case::addis(Name::Addis, "../settings/addis.ini")]
fn shipped_settings_match_deployments(#[case] name: Name, #[case] file: &str) {
    let settings = Settings::from_file(Path::new(file)).expect("shipped settings are valid");
    let mut pools = Deployment::new(name, Size::Full).pools();
    // The deployments in `standin` do not define whether engines check fencing tokens.
    for pool in &mut pools {
        let shipped = settings.pools.iter().find(|it| it.name == pool.name);
        pool.fenced = shipped.is_some_and(|it| it.fenced);
    }
    pools.sort_by(|one, other| one.name.cmp(&other.name));
    assert_eq!(settings.pools, pools);
}
