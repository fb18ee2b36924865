//! Results on standard output, progress on standard error.

mod print;
mod table;

pub(crate) use {
    print::{Output, progress},
    table::Table,
};
