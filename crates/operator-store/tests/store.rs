//! The store opens again after a kill at any byte, counts its starts, keeps out a second process, and reads
//! a damaged file in the safe way.

use std::path::PathBuf;
use violetseam_operator_commands::ReleaseStage;
use violetseam_operator_commands::persisted_state::{Pause, PersistedState};
use violetseam_operator_store::{Store, StoreError};
use violetseam_proxy::driver::StateWriter;

const NOW: u64 = 1_700_000_000_000_000;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("violetseam-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn paused() -> PersistedState {
    let pause = Pause {
        until_us: NOW + 1,
        issuer: "on-call".into(),
        release: Some(ReleaseStage { build: 7, stage: 1 }),
    };
    PersistedState { pause: Some(pause), ..PersistedState::default() }
}

#[test]
fn starts_are_counted_and_state_and_audit_log_outlive_them() {
    let folder = folder("starts");
    let mut first = Store::open(&folder, 0, NOW).unwrap();
    assert_eq!((first.boot, first.state), (1, PersistedState::default()));
    first.store.write(&paused(), "one").unwrap();
    first.store.write(&paused(), "two").unwrap();
    assert!(matches!(Store::open(&folder, 0, NOW), Err(StoreError::InUse { .. })), "a second daemon got in");
    drop(first.store);
    let second = Store::open(&folder, 0, NOW).unwrap();
    assert_eq!((second.boot, second.state), (2, paused()));
    assert_eq!(second.store.audit().unwrap(), ["one", "two"]);
    let other = Store::open(&folder, 1, NOW).unwrap();
    assert_eq!(other.boot, 1, "another identity");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_damaged_file_is_moved_aside_and_reads_as_paused() {
    let folder = folder("damage");
    let path = folder.join("daemon-0.redb");
    let sound = {
        let mut opened = Store::open(&folder, 0, NOW).unwrap();
        opened.store.write(&paused(), "one").unwrap();
        drop(opened.store);
        std::fs::read(&path).unwrap()
    };
    let garbled = sound.iter().map(|b| b ^ 0x5a).collect::<Vec<u8>>();
    for (n, bytes) in [garbled, sound[..sound.len() / 3].to_vec(), b"not a store".to_vec()].iter().enumerate()
    {
        std::fs::write(&path, bytes).unwrap();
        let opened = Store::open(&folder, 0, NOW + n as u64).unwrap();
        assert!(opened.moved_aside.as_ref().is_some_and(|p| p.exists()), "case {n}");
        assert!(opened.state.pause.is_some_and(|p| p.issuer.contains("damaged")), "case {n}");
        assert!(opened.boot > 1_000, "a boot number that was in use: {}", opened.boot);
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_folder_that_cannot_be_created_is_named_with_the_cause() {
    let folder = folder("not-a-folder");
    std::fs::write(&folder, b"a file").unwrap();
    let error = Store::open(&folder, 0, NOW).unwrap_err();
    assert!(matches!(&error, StoreError::Folder { folder: named, .. } if *named == folder), "{error}");
    let cause = std::error::Error::source(&error).expect("a cause").to_string();
    assert_eq!(error.to_string(), format!("{}: {cause}", folder.display()));
    std::fs::remove_file(&folder).unwrap();
}
