//! The commands `apply`, `set`, `withdraw`, `list` and `show`, which read and
//! write records.

mod apply;
mod fields;
mod file;
mod list;
mod plan;
mod set;
mod show;
mod withdraw;
mod write;
mod write_result;

pub(crate) use {
    apply::{Apply, apply},
    file::RecordFile,
    list::{List, list},
    set::{Set, set},
    show::{Show, show},
    withdraw::{Withdraw, withdraw, withdraw_record},
    write::{delete, put, read},
    write_result::{Action, WriteResult},
};
