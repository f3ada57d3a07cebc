//! Reader of TOML tables, key by key, with the line of each finding.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use bytestring::ByteString;
use toml::Spanned;
use toml::de::{DeFloat, DeInteger, DeTable, DeValue};

use super::unit::{self, DURATION_MAX, DURATION_MIN};
use crate::finding::Findings;
use crate::name;

/// Accepted form of an address, as findings describe it.
const ACCEPTED_ADDRESS: &str = "an IP address with a port above 0, such as \"127.0.0.1:8080\"";
/// Smallest processor time accepted, in cores.
const CORES_MIN: f64 = 0.01;
/// Largest processor time accepted, in cores.
const CORES_MAX: f64 = 1_024.0;
/// Smallest factor accepted.
const FACTOR_MIN: f64 = 0.0;
/// Largest factor accepted.
const FACTOR_MAX: f64 = 1_000.0;
/// Problem of a value of the wrong TOML type.
const WRONG_TYPE: &str = "value has the wrong type";

/// `Reader` reads the keys of a settings file one by one and collects the findings.
pub(crate) struct Reader<'a> {
    text: &'a str,
    table: DeTable<'a>,
    known_keys: Vec<String>,
    addresses: Vec<Address>,
    findings: Findings,
}

/// `Address` is an address with its key and line in the file.
struct Address {
    key: String,
    line: usize,
    socket: SocketAddr,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(text: &'a str) -> Result<Self, Findings> {
        match DeTable::parse(text) {
            Ok(table) => Ok(Self {
                text,
                table: table.into_inner(),
                known_keys: Vec::new(),
                addresses: Vec::new(),
                findings: Findings::default(),
            }),
            Err(error) => {
                let mut findings = Findings::default();
                let line = error.span().map_or(1, |span| line_at(text, span.start));
                findings.add(line, "", "", error.message(), "TOML");
                Err(findings)
            }
        }
    }

    /// Adds findings for keys that were not read and for addresses in conflict; returns all
    /// findings.
    pub(crate) fn finish(mut self) -> Findings {
        self.known_keys.sort();
        for (key, value) in &self.table {
            let line = line_at(self.text, key.span().start);
            let seen = self.text.get(value.span()).unwrap_or_default();
            let accepted = self.known_keys.join(", ");
            let name = key.get_ref();
            self.findings.add(line, name, seen, "unknown key", accepted);
        }
        self.check_addresses();
        self.findings
    }

    /// Adds a finding for a value that does not fit the value of another key.
    pub(crate) fn add_finding(&mut self, key: &str, problem: &str, accepted: &str) {
        let line = self.text.lines().position(|line| {
            let name = line.split('=').next().unwrap_or_default();
            name.trim() == key
        });
        let line = line.map_or(1, |line| line + 1);
        self.findings.add(line, key, "", problem, accepted);
    }

    /// Reads a key and converts its value to its checked type with `check`.
    ///
    /// Without a default, a missing key is a finding.
    fn read<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        accepted: &str,
        check: impl Fn(&DeValue) -> Result<T, &'static str>,
    ) -> Option<T> {
        self.known_keys.push(key.to_owned());
        let Some((_, value)) = self.table.remove_entry(key) else {
            if default.is_none() {
                self.findings.add(1, key, "", "key is missing", accepted);
            }
            return default;
        };
        self.convert(key, &value, accepted, check)
    }

    /// Converts one value of a key to its checked type; adds a finding when `check` rejects it.
    fn convert<T>(
        &mut self,
        key: &str,
        value: &Spanned<DeValue>,
        accepted: &str,
        check: impl Fn(&DeValue) -> Result<T, &'static str>,
    ) -> Option<T> {
        let problem = match check(value.get_ref()) {
            Ok(checked) => return Some(checked),
            Err(problem) => problem,
        };
        let line = line_at(self.text, value.span().start);
        let seen = self.text.get(value.span()).unwrap_or_default();
        self.findings.add(line, key, seen, problem, accepted);
        None
    }

    pub(crate) fn read_name(&mut self, key: &str) -> Option<ByteString> {
        self.read(key, None, name::SYNTAX, parse_name)
    }

    /// Reads a name; the key may be missing.
    pub(crate) fn read_optional_name(&mut self, key: &str) -> Option<ByteString> {
        let check = |value: &DeValue| parse_name(value).map(Some);
        self.read(key, Some(None), name::SYNTAX, check).flatten()
    }

    /// Reads an address to which other processes connect; the unspecified address is rejected.
    pub(crate) fn read_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.read_checked_address(key, |value| {
            let address = parse_address(value)?;
            if address.ip().is_unspecified() {
                return Err("unspecified address");
            }
            Ok(address)
        })
    }

    /// Reads an address to listen at; the unspecified address stands for all addresses of the host.
    pub(crate) fn read_listen_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.read_checked_address(key, parse_address)
    }

    fn read_checked_address(
        &mut self,
        key: &str,
        check: impl Fn(&DeValue) -> Result<SocketAddr, &'static str>,
    ) -> Option<SocketAddr> {
        let span = self.table.get(key).map(Spanned::span);
        let line = span.map_or(1, |span| line_at(self.text, span.start));
        let address = self.read(key, None, ACCEPTED_ADDRESS, check)?;
        self.record_address(key, line, address);
        Some(address)
    }

    /// Reads the path of a file; the key may be missing, and an empty path stands for none.
    pub(crate) fn read_path(&mut self, key: &str) -> Option<PathBuf> {
        let parse_path = |value: &DeValue| {
            let path = value.as_str().ok_or(WRONG_TYPE)?;
            Ok((!path.is_empty()).then(|| path.into()))
        };
        self.read(key, Some(None), "the path of a file", parse_path)
            .flatten()
    }

    /// Reads a list of addresses of other processes, which must differ from all other addresses.
    pub(crate) fn read_addresses(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        let located = self.read_address_list(key)?;
        for (line, address) in &located {
            self.record_address(key, *line, *address);
        }
        Some(located.into_iter().map(|(_, address)| address).collect())
    }

    /// Reads a list of addresses of external services, which may share an address.
    pub(crate) fn read_service_addresses(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        Some(
            self.read_address_list(key)?
                .into_iter()
                .map(|(_, address)| address)
                .collect(),
        )
    }

    /// Reads a list of addresses, each with its line; a missing key stands for an empty list.
    fn read_address_list(&mut self, key: &str) -> Option<Vec<(usize, SocketAddr)>> {
        self.known_keys.push(key.to_owned());
        let Some((_, value)) = self.table.remove_entry(key) else {
            return Some(Vec::new());
        };
        let accepted = format!("a list, each {ACCEPTED_ADDRESS}");
        let Some(items) = value.get_ref().as_array() else {
            return self.convert(key, &value, &accepted, |_| Err(WRONG_TYPE));
        };
        let mut addresses = Vec::new();
        let mut all_valid = true;
        for item in items {
            let line = line_at(self.text, item.span().start);
            if let Some(address) = self.convert(key, item, ACCEPTED_ADDRESS, parse_address) {
                addresses.push((line, address));
            } else {
                all_valid = false;
            }
        }
        all_valid.then_some(addresses)
    }

    fn record_address(&mut self, key: &str, line: usize, socket: SocketAddr) {
        let key = key.to_owned();
        self.addresses.push(Address { key, line, socket });
    }

    /// Reads a duration from `DURATION_MIN` to `DURATION_MAX`.
    pub(crate) fn read_duration(&mut self, key: &str, default: Duration) -> Option<Duration> {
        self.read_duration_within(key, default, DURATION_MIN..=DURATION_MAX)
    }

    pub(crate) fn read_duration_within(
        &mut self,
        key: &str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let accepted = unit::describe_duration_range(&range);
        self.read(key, Some(default), &accepted, |value| {
            let duration = unit::parse_duration(value.as_str().ok_or(WRONG_TYPE)?)?;
            if !range.contains(&duration) {
                return Err("duration is out of range");
            }
            Ok(duration)
        })
    }

    pub(crate) fn read_size(
        &mut self,
        key: &str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let accepted = unit::describe_size_range(&range);
        self.read(key, Some(default), &accepted, |value| {
            let size = unit::parse_size(value.as_str().ok_or(WRONG_TYPE)?)?;
            if !range.contains(&size) {
                return Err("size is out of range");
            }
            Ok(size)
        })
    }

    /// Reads a whole number.
    pub(crate) fn read_count(
        &mut self,
        key: &str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(key, Some(default), &accepted, |value| {
            let number = value.as_integer().ok_or(WRONG_TYPE)?;
            let number: usize = number.as_str().parse().map_err(|_| WRONG_TYPE)?;
            if !range.contains(&number) {
                return Err("number is out of range");
            }
            Ok(number)
        })
    }

    /// Reads processor time in cores; returns it in thousandths of a core.
    pub(crate) fn read_cores(&mut self, key: &str, default: u32) -> Option<u32> {
        let accepted = format!("a number of cores from {CORES_MIN} to {CORES_MAX}");
        self.read_thousandths(key, default, &accepted, CORES_MIN..=CORES_MAX)
    }

    /// Reads a factor; returns it in thousandths.
    pub(crate) fn read_factor(&mut self, key: &str, default: u32) -> Option<u32> {
        let accepted = format!("a number from {FACTOR_MIN:.1} to {FACTOR_MAX:.1}");
        self.read_thousandths(key, default, &accepted, FACTOR_MIN..=FACTOR_MAX)
    }

    fn read_thousandths(
        &mut self,
        key: &str,
        default: u32,
        accepted: &str,
        range: RangeInclusive<f64>,
    ) -> Option<u32> {
        self.read(key, Some(default), accepted, |value| {
            let number = value.as_float().map(DeFloat::as_str);
            let number = number.or_else(|| value.as_integer().map(DeInteger::as_str));
            let number: f64 = number
                .and_then(|text| text.parse().ok())
                .ok_or(WRONG_TYPE)?;
            if !range.contains(&number) {
                return Err("number is out of range");
            }
            Ok(unit::to_thousandths(number))
        })
    }

    pub(crate) fn read_choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let default = choices.first().map(|(_, value)| *value);
        self.read(key, default, &names.join(" or "), |value| {
            let text = value.as_str().ok_or(WRONG_TYPE)?;
            let choice = choices.iter().find(|(name, _)| *name == text);
            choice.map(|(_, value)| *value).ok_or("unknown choice")
        })
    }

    /// Adds a finding for each address that overlaps with an earlier one in the file.
    fn check_addresses(&mut self) {
        for (index, later) in self.addresses.iter().enumerate() {
            let mut earlier_addresses = self.addresses[..index].iter();
            if let Some(earlier) =
                earlier_addresses.find(|earlier| addresses_overlap(earlier.socket, later.socket))
            {
                let problem = format!("same address as {} on line {}", earlier.key, earlier.line);
                let seen = later.socket.to_string();
                let accepted = "an address of its own";
                self.findings
                    .add(later.line, &later.key, &seen, problem, accepted);
            }
        }
    }
}

/// Returns whether two sockets can't both listen, as their ports and hosts overlap.
fn addresses_overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any_unspecified = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (is_any_unspecified || one.ip() == other.ip())
}

fn parse_name(value: &DeValue) -> Result<ByteString, &'static str> {
    let text = value.as_str().ok_or(WRONG_TYPE)?;
    name::check(text)?;
    Ok(ByteString::from(text))
}

fn parse_address(value: &DeValue) -> Result<SocketAddr, &'static str> {
    let text = value.as_str().ok_or(WRONG_TYPE)?;
    let address: SocketAddr = text.parse().map_err(|_| "not an address")?;
    if address.port() == 0 {
        return Err("port is 0");
    }
    Ok(address)
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}
