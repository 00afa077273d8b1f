//! `demo`, `check`, `run` and `stand-in`.

use std::{net::SocketAddr, path::PathBuf, thread, time::Duration};

use eyre::WrapErr as _;
use hatchrudder_platform::Policy;
use pico_args::Arguments;
use rudder_node::{Listeners, listen::listen};
use rudder_settings::Settings;
use rudder_standin::{Engine, EngineOptions, Service, ServiceOptions};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use super::{Error, no_more, option_or};

/// Runs the demo.
pub(super) fn demo(mut arguments: Arguments) -> Result<bool, Error> {
    let default = rudder_demo::Options::default();
    let seconds = option_or(&mut arguments, "--seconds", default.seconds)?;
    let seed = option_or(&mut arguments, "--seed", default.seed)?;
    let folder = arguments.opt_value_from_str("--folder")?;
    no_more(arguments)?;
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Warn));
    let report = rudder_demo::demo(&rudder_demo::Options { seconds, seed, folder })?;
    println!("{}", report.text);
    println!("{}", if report.held { "all promises held" } else { "A PROMISE BROKE" });
    Ok(report.held)
}

/// Validates settings.
pub(super) fn check(arguments: Arguments) -> Result<bool, Error> {
    let settings = read(arguments)?;
    println!("{}: {} instances, hall {}", settings.name.get_ref(), settings.peers.len(), settings.me().hall);
    Ok(true)
}

/// Runs one instance.
pub(super) fn run(arguments: Arguments) -> Result<bool, Error> {
    let settings = read(arguments)?;
    let listeners = Listeners::open(&settings)?;
    let node = rudder_node::start(&settings, listeners)?;
    let stop = node.stopper();
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("listen for signals")?;
    thread::spawn(move || {
        for _ in signals.forever() {
            stop();
        }
    });
    node.join()?;
    Ok(true)
}

/// Runs one instance on the users' platform.
pub(super) fn platform(mut arguments: Arguments) -> Result<bool, Error> {
    let given: Option<PathBuf> = arguments.opt_value_from_str("--settings")?;
    let policy: Option<PathBuf> = arguments.opt_value_from_str("--policy")?;
    no_more(arguments)?;
    let policy = policy.map_or_else(|| Ok(Policy::default()), |path| Policy::read(&path));
    let policy = policy.map_err(|error| Error::Usage(error.to_string()))?;
    let variable = hatchrudder_platform::SETTINGS_VARIABLE;
    let path = given.or_else(|| std::env::var_os(variable).map(PathBuf::from));
    let path = path.ok_or_else(|| Error::Usage(format!("neither --settings nor {variable} is given")))?;
    let settings = hatchrudder_platform::settings::read(&path).map_err(|error| Error::Usage(error.to_string()))?;
    settings.to_options().map_err(|error| Error::Usage(error.to_string()))?;
    hatchrudder_platform::run(&path, policy)?;
    Ok(true)
}

fn read(mut arguments: Arguments) -> Result<Settings, Error> {
    let path: PathBuf = arguments.value_from_str("--settings")?;
    no_more(arguments)?;
    rudder_settings::read(&path).map_err(|error| Error::Usage(error.to_string()))
}

/// Serves a stand-in.
pub(super) fn stand_in(mut arguments: Arguments) -> Result<bool, Error> {
    let address: SocketAddr = arguments.value_from_str("--listen")?;
    let service = arguments.contains("--service");
    let default = EngineOptions::default();
    let options = EngineOptions {
        slots: option_or(&mut arguments, "--slots", default.slots)?,
        pace: time_or(&mut arguments, "--pace", default.pace)?,
        prefill: time_or(&mut arguments, "--prefill", default.prefill)?,
        tokens: option_or(&mut arguments, "--tokens", default.tokens)?,
        checks: !arguments.contains("--unchecked"),
        ..default
    };
    let time = time_or(&mut arguments, "--time", ServiceOptions::default().time)?;
    no_more(arguments)?;
    let listener = listen(address).wrap_err_with(|| format!("listen on {address}"))?;
    if service {
        Service::start(listener, ServiceOptions { time }, rudder_standin::service::Runs::default())?;
    } else {
        Engine::start(listener, options)?;
    }
    loop {
        thread::park();
    }
}

/// A time with its unit, as in settings.
fn time_or(arguments: &mut Arguments, key: &'static str, default: Duration) -> Result<Duration, Error> {
    let text: Option<String> = arguments.opt_value_from_str(key)?;
    let Some(text) = text else { return Ok(default) };
    let parsed = humantime_serde::re::humantime::parse_duration(&text);
    parsed.map_err(|error| Error::Usage(format!("{key}: {text}: {error}")))
}
