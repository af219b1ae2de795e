use super::{EXAMPLE, Settings, SettingsError};

fn with_next(next: &str) -> Result<Settings, SettingsError> {
    Settings::parse(&EXAMPLE.replace("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]")))
}

/// Guards against reading the number of sockets from the wrong section: every controller would then use the default of
/// 1,000 sockets, and a leader could serve no more than 800 connections of workers and users.
#[test]
fn the_sockets_are_those_of_the_platform_s_limits() {
    let with = |sockets: &str| Settings::parse(&format!("{EXAMPLE}[cluster.limits]\ncores = 0.3\n{sockets}\n"));
    assert_eq!(with("sockets = 3571").expect("settings").sockets, 3571);
    assert_eq!(with("").expect("settings").sockets, 1000);
    let error = with("sockets = 3").expect_err("too few").to_string();
    assert!(error.contains("cluster.limits.sockets") && !error.contains('\n'), "{error}");
}

/// Each of the upcoming limits is optional, and no value or transaction exceeds the current or the upcoming limits.
#[test]
fn what_is_written_fits_the_limits_of_today_and_tomorrow() {
    let limits = |settings: Settings| (settings.value_bytes(), settings.min_txn_ops(), settings.state_next.write_rps);
    assert_eq!(limits(Settings::parse(EXAMPLE).expect("settings")), (3968, 8, 30.0));
    assert_eq!(limits(with_next("value_kb = 2.0").expect("settings")), (1984, 8, 30.0));
    assert_eq!(limits(with_next("txn_ops = 5\nwrite_rps = 9.0").expect("settings")), (3968, 5, 9.0));
    assert_eq!(limits(with_next("value_kb = 64.0\ntxn_ops = 90").expect("settings")), (3968, 8, 30.0));
    for (wrong, field) in [
        ("value_kb = 0.5", "cluster.state.next.value_kb"),
        ("txn_ops = 0", "cluster.state.next.txn_ops"),
        ("write_rps = -1.0", "cluster.state.next.write_rps"),
        ("rps = 0.0", "cluster.state.next.rps"),
    ] {
        let error = with_next(wrong).expect_err(wrong).to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{error}");
    }
}
