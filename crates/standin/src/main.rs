//! Stand-ins for the platform, the workers and the callers.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use actix::Actor;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use argh::FromArgs;
use persimmongate_standin::callers;
use persimmongate_standin::deployment::Deployment;
use persimmongate_standin::faults;
use persimmongate_standin::hosts::{self, Hosts};
use persimmongate_standin::log::{self, Store};
use persimmongate_standin::ports;
use persimmongate_standin::runs;

/// Stand-ins for tests and the demo.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Callers(callers::Args),
    Platform(Platform),
    Ports(Ports),
}

/// Runs the platform and its backend servers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// deployment: andaman or kuiseb
    #[argh(option)]
    deployment: Deployment,
    /// hosts in addition to those of the services' pools
    #[argh(option, long = "spare", default = "6")]
    spare_hosts: usize,
    /// maximum number of records that each stream of the log retains
    #[argh(option, long = "retention", default = "1000000")]
    retained_records: usize,
    /// milliseconds between two updates of the host list
    #[argh(option, long = "lag-ms", default = "1000")]
    list_update_interval_ms: u64,
    /// duration of a reboot in milliseconds
    #[argh(option, default = "800")]
    reboot_ms: u64,
}

/// Prints free addresses, one per line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ports")]
struct Ports {
    /// number of addresses
    #[argh(positional)]
    count: usize,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let system = actix_rt::System::new();
    let result = system.block_on(async {
        match args.command {
            Command::Callers(args) => callers::run(args).await,
            Command::Platform(platform) => serve(platform).await.map_err(|e| e.to_string()),
            Command::Ports(Ports { count }) => print_ports(count).map_err(|e| e.to_string()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print_ports(count: usize) -> std::io::Result<()> {
    for address in ports::find_free(count)? {
        println!("{address}");
    }
    Ok(())
}

async fn serve(platform: Platform) -> std::io::Result<()> {
    let run_counter = runs::Counter::default().start();
    let store = Store::new(platform.retained_records).start();
    let listings = platform.deployment.build_listings(platform.spare_hosts)?;
    let list_update_interval = Duration::from_millis(platform.list_update_interval_ms);
    let reboot_time = Duration::from_millis(platform.reboot_ms);
    let hosts = Hosts::new(listings, list_update_interval, reboot_time, &run_counter).start();
    HttpServer::new(move || {
        App::new()
            .app_data(Data::new(run_counter.clone()))
            .app_data(Data::new(store.clone()))
            .app_data(Data::new(hosts.clone()))
            .configure(faults::configure)
            .configure(log::configure)
            .configure(hosts::configure)
    })
    .workers(1)
    .shutdown_timeout(0)
    .bind(platform.address)?
    .run()
    .await
}
