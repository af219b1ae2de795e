//! Invalid settings files.

use crate::http::free_port;
use crate::settings::{Size, settings};
use std::ffi::OsStr;
use std::process::Command;

/// Invalid settings end the program at once with a message that names the field.
#[test]
fn a_wrong_settings_file_is_refused() {
    let listen = [free_port()];
    let size = Size { cpus_max: 8.0, ..Size::of(1, 0, 4) };
    let good = settings(0, &listen, &listen, listen[0], listen[0], &size);
    let dir = std::env::temp_dir().join(format!("lupinspur-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("n0.toml");
    let run = |text: &str, level: &str| {
        std::fs::write(&file, text).expect("the settings file is written");
        let out = Command::new(env!("CARGO_BIN_EXE_lupinspur"))
            .args(["--check", "--config"])
            .arg(&file)
            .env("LOG_LEVEL", level)
            .output()
            .expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let (ok, err) = run(&format!("unknown = 1\n{good}"), "info");
    assert!(ok, "{err}");
    for (from, to, field) in [
        (format!("bind = \"{}\"", listen[0]), "bind = \"here\"".to_owned(), "bind"),
        ("rps = 20.0".into(), "rps = 0.0".into(), "cluster.cloud.rps"),
        ("lease_s = 4.0".into(), String::new(), "lease_s"),
        ("[cluster.workers]".into(), "[[cluster.teams]]\nname = \"red\"\n[cluster.workers]".into(), "cluster.teams"),
    ] {
        let (ok, err) = run(&good.replacen(&from, &to, 1), "info");
        assert!(!ok && err.contains(field) && err.lines().count() == 1, "{field}: {err}");
    }
    let (ok, err) = run(&good, "loud");
    assert!(!ok && err.contains("LOG_LEVEL"), "{err}");
    // All errors of a quota file are printed, one on each line, and no controller starts.
    let quotas = dir.join("quotas.toml");
    let with = |text: &str| {
        std::fs::write(&quotas, text).expect("the quota file is written");
        let args = [OsStr::new("--check"), OsStr::new("--config"), file.as_os_str(), OsStr::new("--quotas")];
        let out = Command::new(env!("CARGO_BIN_EXE_lupinspur")).args(args).arg(&quotas).output().expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    std::fs::write(&file, &good).expect("the settings file is written");
    let (ok, err) = with("generation = 1\n[[organisation]]\nname = \"o\"\ncpus = 9.0\nteams = [\"red\"]\n");
    assert!(ok, "{err}");
    let (ok, err) = with("generation = 0\n[[organisation]]\nname = \"o\"\nwithin = \"o\"\ncpus = -1.0\n");
    assert!(!ok && err.lines().count() == 4, "{err}");
    for path in ["generation", "organisation[0].within", "organisation[0].cpus", "\"red\""] {
        assert!(err.contains(path), "{path}: {err}");
    }
    std::fs::remove_file(&file).expect("removed");
    let out = Command::new(env!("CARGO_BIN_EXE_lupinspur")).arg("--config").arg(&file).output().expect("it runs");
    assert!(!out.status.success());
    let _ = std::fs::remove_dir_all(dir);
}
