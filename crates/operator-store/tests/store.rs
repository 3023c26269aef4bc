//! The store keeps its state over restarts, counts its starts, can be opened by one process only, and
//! replaces a damaged file with a paused state.

use std::path::PathBuf;
use violetseam_operator_commands::ReleaseStage;
use violetseam_operator_commands::persisted_state::{Pause, PersistedState};
use violetseam_operator_store::{Store, StoreError};
use violetseam_proxy::driver::StateWriter;

const NOW_US: u64 = 1_700_000_000_000_000;

fn test_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("violetseam-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn paused_state() -> PersistedState {
    let pause = Pause {
        until_us: NOW_US + 1,
        issuer: "on-call".into(),
        release: Some(ReleaseStage { build: 7, stage: 1 }),
    };
    PersistedState { pause: Some(pause), ..PersistedState::default() }
}

#[test]
fn starts_are_counted_and_state_and_audit_log_survive_a_restart() {
    let folder = test_folder("starts");
    let mut first = Store::open(&folder, 0, NOW_US).unwrap();
    assert_eq!((first.boot, first.state), (1, PersistedState::default()));
    first.store.write(&paused_state(), "one").unwrap();
    first.store.write(&paused_state(), "two").unwrap();
    assert!(
        matches!(Store::open(&folder, 0, NOW_US), Err(StoreError::InUse { .. })),
        "a second daemon opened the store"
    );
    drop(first.store);
    let second = Store::open(&folder, 0, NOW_US).unwrap();
    assert_eq!((second.boot, second.state), (2, paused_state()));
    assert_eq!(second.store.audit().unwrap(), ["one", "two"]);
    let other = Store::open(&folder, 1, NOW_US).unwrap();
    assert_eq!(other.boot, 1, "the other identity counts its own starts");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_damaged_file_is_moved_aside_and_replaced_by_a_paused_state() {
    let folder = test_folder("damage");
    let path = folder.join("daemon-0.redb");
    let valid_bytes = {
        let mut opened = Store::open(&folder, 0, NOW_US).unwrap();
        opened.store.write(&paused_state(), "one").unwrap();
        drop(opened.store);
        std::fs::read(&path).unwrap()
    };
    let garbled_bytes = valid_bytes.iter().map(|b| b ^ 0x5a).collect::<Vec<u8>>();
    for (n, bytes) in [garbled_bytes, valid_bytes[..valid_bytes.len() / 3].to_vec(), b"not a store".to_vec()]
        .iter()
        .enumerate()
    {
        std::fs::write(&path, bytes).unwrap();
        let opened = Store::open(&folder, 0, NOW_US + n as u64).unwrap();
        assert!(opened.moved_aside.as_ref().is_some_and(|p| p.exists()), "case {n}");
        assert!(opened.state.pause.is_some_and(|p| p.issuer.contains("damaged")), "case {n}");
        assert!(opened.boot > 1_000, "the boot number {} may have been used before", opened.boot);
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_error_for_a_folder_that_cannot_be_created_names_the_folder_and_the_cause() {
    let folder = test_folder("not-a-folder");
    std::fs::write(&folder, b"a file").unwrap();
    let error = Store::open(&folder, 0, NOW_US).unwrap_err();
    assert!(
        matches!(&error, StoreError::Folder { folder: named_folder, .. } if *named_folder == folder),
        "{error}"
    );
    let cause = std::error::Error::source(&error).expect("the error has a cause").to_string();
    assert_eq!(error.to_string(), format!("{}: {cause}", folder.display()));
    std::fs::remove_file(&folder).unwrap();
}
