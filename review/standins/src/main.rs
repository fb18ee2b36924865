//! Plays a case of the review: `mangowalk-review CASE FOLDER ROOT`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
//! `TROUBLE=0` it plays the case without its disruption.

mod cases;
mod deployment;
mod engine;
mod http;
mod json;
mod record;
mod store;

use deployment::Failure;
use record::Record;
use std::{env, panic, path::Path, process::exit};

fn play(arguments: &[String]) -> Result<bool, Failure> {
    let [_, case, folder, root] = arguments else {
        return Err("usage: mangowalk-review CASE FOLDER ROOT".into());
    };
    let (folder, root) = (Path::new(folder), Path::new(root));
    let record = Record::begin(folder)?;
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match case.as_str() {
        "twice" => cases::twice(root, record, has_trouble),
        "wall" => cases::wall(root, record, has_trouble),
        "unreadable" => cases::unreadable(root, record, has_trouble),
        "one" => cases::one(root, record, has_trouble),
        "drain" => cases::drain(root, record, has_trouble),
        _ => Err("there is no such case".into()),
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    // The deployment ends its processes also while a panic unwinds.
    let played = panic::catch_unwind(|| play(&arguments));
    let code = match played {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(error)) => {
            eprintln!("could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    println!("{}", ["held", "broken", "could not run"][code as usize]);
    exit(code);
}
