//! The `key` commands: issue and withdraw API keys.

mod issue;
mod secret;
mod withdraw;

pub(crate) use {
    issue::{IssueKey, issue_key},
    withdraw::{WithdrawKey, withdraw_key},
};
