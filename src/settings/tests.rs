use super::{EXAMPLE, Settings, SettingsError};

fn with_next(next: &str) -> Result<Settings, SettingsError> {
    Settings::parse(&EXAMPLE.replace("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]")))
}

/// Guards against a field that is looked for where it does not stand: every controller
/// once kept to the 1,000 sockets that are assumed where none are named, and so no leader
/// heard more than 800 machines, users included.
#[test]
fn the_sockets_are_those_of_the_platform_s_limits() {
    let with = |sockets: &str| Settings::parse(&format!("{EXAMPLE}[cluster.limits]\ncores = 0.3\n{sockets}\n"));
    assert_eq!(with("sockets = 3571").expect("settings").sockets, 3571);
    assert_eq!(with("").expect("settings").sockets, 1000);
    let e = with("sockets = 3").expect_err("too few").to_string();
    assert!(e.contains("cluster.limits.sockets") && !e.contains('\n'), "{e}");
}

/// The limits that will hold are optional, each of them, and no value or transaction is
/// ever made larger than either set allows.
#[test]
fn what_is_written_fits_the_limits_of_today_and_tomorrow() {
    let of = |s: Settings| (s.value_bytes(), s.min_txn_ops(), s.state_next.write_rps);
    assert_eq!(of(Settings::parse(EXAMPLE).expect("settings")), (3968, 8, 30.0));
    assert_eq!(of(with_next("value_kb = 2.0").expect("settings")), (1984, 8, 30.0));
    assert_eq!(of(with_next("txn_ops = 5\nwrite_rps = 9.0").expect("settings")), (3968, 5, 9.0));
    assert_eq!(of(with_next("value_kb = 64.0\ntxn_ops = 90").expect("settings")), (3968, 8, 30.0));
    for (wrong, field) in [
        ("value_kb = 0.5", "cluster.state.next.value_kb"),
        ("txn_ops = 0", "cluster.state.next.txn_ops"),
        ("write_rps = -1.0", "cluster.state.next.write_rps"),
        ("rps = 0.0", "cluster.state.next.rps"),
    ] {
        let e = with_next(wrong).expect_err(wrong).to_string();
        assert!(e.contains(field) && !e.contains('\n'), "{e}");
    }
}
