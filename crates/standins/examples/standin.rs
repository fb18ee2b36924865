//! Runs one stand-in as a process: `standin platform|service|engine ADDRESS`.
//!
//! An engine takes `MODEL VERSION` after the address. `standin ports COUNT`
//! prints addresses on loopback at which no process listens.

use {
    mangowalk_standins::{
        EngineSettings, EngineStandIn, PlatformStandIn, ServiceStandIn, free_address,
    },
    std::{env, net::SocketAddr, process::exit, thread},
};

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "ports") {
        return ports(&args);
    }
    let Some(address) = args.get(1).and_then(|a| a.parse::<SocketAddr>().ok()) else {
        eprintln!("usage: standin platform|service|engine ADDRESS [MODEL VERSION]");
        exit(2);
    };
    match args[0].as_str() {
        "platform" => hold(PlatformStandIn::start(address)),
        "service" => hold(ServiceStandIn::start(address)),
        _ => hold(engine(address, &args)),
    }
}

/// Prints the requested number of different free addresses.
fn ports(args: &[String]) {
    let count: usize = args.get(1).and_then(|a| a.parse().ok()).unwrap_or(1);
    for _ in 0..count {
        println!("{}", free_address());
    }
}

fn engine(address: SocketAddr, args: &[String]) -> EngineStandIn {
    let defaults = EngineSettings::default();
    let settings = EngineSettings {
        model: args.get(2).cloned().unwrap_or(defaults.model.clone()),
        version: args.get(3).cloned().unwrap_or(defaults.version.clone()),
        ..defaults
    };
    EngineStandIn::start(address, settings)
}

/// Runs the stand-in until the process is killed.
fn hold<T>(_stand_in: T) {
    loop {
        thread::park();
    }
}
