//! The tables of a state file, their keys, and the transactions that read and write them.

use crate::error::DatabaseError;
use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError,
};
use redb::{Key, Table, Value, WriteTransaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use violetseam_operator_commands::PersistedState;

const STATE_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("state");
const BOOT_KEY: &str = "boot";
const PERSISTED_STATE_KEY: &str = "durable";

const AUDIT_TABLE: TableDefinition<'_, u64, &str> = TableDefinition::new("audit");
/// The maximum number of audit lines. Each further line removes the oldest one.
const MAX_AUDIT_LINES: u64 = 100_000;

/// The contents of the state table.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    /// The boot number, which is the number of the daemon's latest start; 0 in a new file.
    pub(crate) boot: u64,
    /// The state that the command log stored last.
    pub(crate) state: PersistedState,
}

/// The values that one transaction writes.
pub(crate) struct Update<'a> {
    /// The new boot number, if it changes.
    pub(crate) boot: Option<u64>,
    /// The new state of the command log.
    pub(crate) state: &'a PersistedState,
    /// A line to append to the audit log, if any.
    pub(crate) audit_line: Option<&'a str>,
}

/// Reads the boot number and the state; both have their defaults if the file has none.
pub(crate) fn read_state(database: &Database) -> Result<StoredState, DatabaseError> {
    let transaction = database.begin_read()?;
    let Some(table) = open_table_if_exists(&transaction, STATE_TABLE)? else {
        return Ok(StoredState::default());
    };
    let boot = read_json(&table, BOOT_KEY)?.unwrap_or_default();
    let state = read_json(&table, PERSISTED_STATE_KEY)?.unwrap_or_default();
    Ok(StoredState { boot, state })
}

/// Writes an update in one transaction. The update is durable once this returns.
pub(crate) fn write_update(database: &Database, update: &Update<'_>) -> Result<(), DatabaseError> {
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(STATE_TABLE)?;
        if let Some(boot) = update.boot {
            write_json(&mut table, BOOT_KEY, &boot)?;
        }
        write_json(&mut table, PERSISTED_STATE_KEY, update.state)?;
    }
    if let Some(line) = update.audit_line {
        append_audit_line(&transaction, line)?;
    }
    transaction.commit()?;
    Ok(())
}

/// Reads the audit log, oldest line first.
pub(crate) fn read_audit_lines(database: &Database) -> Result<Vec<String>, DatabaseError> {
    let transaction = database.begin_read()?;
    let Some(table) = open_table_if_exists(&transaction, AUDIT_TABLE)? else {
        return Ok(Vec::new());
    };
    let mut lines = Vec::new();
    for entry in table.iter()? {
        let (_, line) = entry?;
        lines.push(line.value().to_owned());
    }
    Ok(lines)
}

fn append_audit_line(transaction: &WriteTransaction, line: &str) -> Result<(), DatabaseError> {
    let mut table = transaction.open_table(AUDIT_TABLE)?;
    let line_number = table.last()?.map_or(1, |(last, _)| last.value() + 1);
    table.insert(line_number, line)?;
    if line_number > MAX_AUDIT_LINES {
        table.remove(line_number - MAX_AUDIT_LINES)?;
    }
    Ok(())
}

/// Opens a table for reading. Returns none if nothing was written to it yet.
fn open_table_if_exists<K: Key + 'static, V: Value + 'static>(
    transaction: &ReadTransaction,
    definition: TableDefinition<'_, K, V>,
) -> Result<Option<ReadOnlyTable<K, V>>, DatabaseError> {
    match transaction.open_table(definition) {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn read_json<T: DeserializeOwned>(
    table: &ReadOnlyTable<&str, &[u8]>,
    key: &str,
) -> Result<Option<T>, DatabaseError> {
    let Some(bytes) = table.get(key)? else { return Ok(None) };
    Ok(Some(serde_json::from_slice(bytes.value())?))
}

fn write_json<T: Serialize>(
    table: &mut Table<'_, &str, &[u8]>,
    key: &str,
    value: &T,
) -> Result<(), DatabaseError> {
    let bytes = serde_json::to_vec(value)?;
    table.insert(key, bytes.as_slice())?;
    Ok(())
}
