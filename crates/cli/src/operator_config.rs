//! Options that all subcommands share: control addresses, key and output format.

use std::net::SocketAddr;

use bpaf::construct;
use bpaf::long;
use bpaf::Parser;
use serde::Serialize;

use cowslip_wire::access_key::AccessKey;

use crate::control_client::ControlClient;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;

/// Options given before the subcommand.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    controls: Vec<SocketAddr>,
    key: String,
    json: bool,
}

impl OperatorConfig {
    /// Returns the parser of these options.
    pub fn parser() -> impl Parser<Self> {
        let controls = long("control")
            .env("COWSLIP_CONTROL")
            .help("Addresses of the control instances, separated by commas")
            .argument::<String>("ADDR,ADDR")
            .parse(|text| parse_addresses(&text))
            .fallback(Vec::new());
        let key = long("key")
            .env("COWSLIP_KEY")
            .help("Operators' access key; better given in the environment")
            .argument::<String>("KEY")
            .fallback(String::new());
        let json = long("json")
            .help("Print the result as one JSON document")
            .switch();
        construct!(Self {
            controls,
            key,
            json
        })
    }

    /// Creates a client of the control instances. Fails with a usage error if
    /// no address or no key was given.
    pub fn client(&self) -> OperatorResult<ControlClient> {
        if self.controls.is_empty() {
            let problem = "expected --control=ADDR,ADDR or COWSLIP_CONTROL";
            return Err(OperatorError::Usage(problem.to_owned()));
        }
        if self.key.is_empty() {
            let problem = "expected --key=KEY or COWSLIP_KEY";
            return Err(OperatorError::Usage(problem.to_owned()));
        }
        let key = AccessKey::new(self.key.clone());
        Ok(ControlClient::new(self.controls.clone(), key))
    }

    /// Prints `value` as JSON, or as the text that `text` makes of it.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> OperatorResult<()> {
        if !self.json {
            print!("{}", text(value));
            return Ok(());
        }
        let json = serde_json::to_string_pretty(value);
        let json = json.map_err(|error| OperatorError::Usage(error.to_string()))?;
        println!("{json}");
        Ok(())
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let mut addresses = Vec::new();
    for part in text.split(',') {
        let address = part.trim().parse();
        addresses
            .push(address.map_err(|_| format!("{part:?} is not an IP:PORT address"))?);
    }
    Ok(addresses)
}
