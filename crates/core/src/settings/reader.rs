//! Reading of TOML tables, key by key, with the line of each finding.

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

/// What an address may look like, as findings describe it.
const ADDRESS_FORM: &str = "an IP number with a port above 0, such as \"127.0.0.1:8080\"";
/// Least and most processor time accepted, in cores.
const CORES_MIN: f64 = 0.01;
const CORES_MAX: f64 = 1_024.0;
/// What is wrong with a value of another TOML type.
const WRONG_TYPE: &str = "value has another type";

/// `Reader` takes the keys of a settings file one by one.
pub(crate) struct Reader<'a> {
    text: &'a str,
    table: DeTable<'a>,
    known: Vec<String>,
    addresses: Vec<Address>,
    findings: Findings,
}

/// `Address` is an address with its place in the file.
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
                known: Vec::new(),
                addresses: Vec::new(),
                findings: Findings::default(),
            }),
            Err(error) => {
                let mut findings = Findings::default();
                let line = error.span().map_or(1, |span| line_of(text, span.start));
                findings.add(line, "", "", error.message(), "TOML");
                Err(findings)
            }
        }
    }

    /// Adds findings for keys that nothing took and for equal addresses, and returns all findings.
    pub(crate) fn finish(mut self) -> Findings {
        self.known.sort();
        for (key, value) in &self.table {
            let line = line_of(self.text, key.span().start);
            let seen = self.text.get(value.span()).unwrap_or_default();
            let accepted = self.known.join(", ");
            let name = key.get_ref();
            self.findings.add(line, name, seen, "unknown key", accepted);
        }
        self.check_addresses();
        self.findings
    }

    /// Adds a finding for a relation between keys that does not hold.
    pub(crate) fn add(&mut self, key: &str, problem: &str, accepted: &str) {
        let line = self.text.lines().position(|line| {
            let name = line.split('=').next().unwrap_or_default();
            name.trim() == key
        });
        let line = line.map_or(1, |line| line + 1);
        self.findings.add(line, key, "", problem, accepted);
    }

    /// Takes a key whose value a function turns into its checked type.
    fn take<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        accepted: &str,
        check: impl Fn(&DeValue) -> Result<T, &'static str>,
    ) -> Option<T> {
        self.known.push(key.to_owned());
        let Some((_, value)) = self.table.remove_entry(key) else {
            if default.is_none() {
                self.findings.add(1, key, "", "key is missing", accepted);
            }
            return default;
        };
        self.check(key, &value, accepted, check)
    }

    /// Checks one value of a key.
    fn check<T>(
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
        let line = line_of(self.text, value.span().start);
        let seen = self.text.get(value.span()).unwrap_or_default();
        self.findings.add(line, key, seen, problem, accepted);
        None
    }

    pub(crate) fn name(&mut self, key: &str) -> Option<ByteString> {
        self.take(key, None, name::SYNTAX, name_of)
    }

    /// Takes a name that may be missing.
    pub(crate) fn optional_name(&mut self, key: &str) -> Option<ByteString> {
        let check = |value: &DeValue| name_of(value).map(Some);
        self.take(key, Some(None), name::SYNTAX, check).flatten()
    }

    /// Takes an address that other processes are told, so that it must name a host.
    pub(crate) fn address(&mut self, key: &str) -> Option<SocketAddr> {
        self.take_address(key, |value| {
            let address = address(value)?;
            if address.ip().is_unspecified() {
                return Err("address names no host");
            }
            Ok(address)
        })
    }

    /// Takes an address to listen at, which may stand for all addresses of the host.
    pub(crate) fn listen(&mut self, key: &str) -> Option<SocketAddr> {
        self.take_address(key, address)
    }

    fn take_address(
        &mut self,
        key: &str,
        check: impl Fn(&DeValue) -> Result<SocketAddr, &'static str>,
    ) -> Option<SocketAddr> {
        let span = self.table.get(key).map(Spanned::span);
        let line = span.map_or(1, |span| line_of(self.text, span.start));
        let address = self.take(key, None, ADDRESS_FORM, check)?;
        self.record(key, line, address);
        Some(address)
    }

    /// Takes the path of a file that may be missing.
    pub(crate) fn path(&mut self, key: &str) -> Option<PathBuf> {
        let path = |value: &DeValue| {
            let path = value.as_str().ok_or(WRONG_TYPE)?;
            Ok((!path.is_empty()).then(|| path.into()))
        };
        self.take(key, Some(None), "the path of a file", path)
            .flatten()
    }

    /// Takes a list of addresses of other processes, each of its own.
    pub(crate) fn addresses(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        let taken = self.list(key)?;
        for (line, address) in &taken {
            self.record(key, *line, *address);
        }
        Some(taken.into_iter().map(|(_, address)| address).collect())
    }

    /// Takes a list of addresses of services outside, which may share one.
    pub(crate) fn services(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        Some(
            self.list(key)?
                .into_iter()
                .map(|(_, address)| address)
                .collect(),
        )
    }

    /// Takes a list of addresses, each with its line.
    fn list(&mut self, key: &str) -> Option<Vec<(usize, SocketAddr)>> {
        self.known.push(key.to_owned());
        let Some((_, value)) = self.table.remove_entry(key) else {
            return Some(Vec::new());
        };
        let accepted = format!("a list, each {ADDRESS_FORM}");
        let Some(items) = value.get_ref().as_array() else {
            return self.check(key, &value, &accepted, |_| Err(WRONG_TYPE));
        };
        let mut addresses = Vec::new();
        let mut complete = true;
        for item in items {
            let line = line_of(self.text, item.span().start);
            if let Some(address) = self.check(key, item, ADDRESS_FORM, address) {
                addresses.push((line, address));
            } else {
                complete = false;
            }
        }
        complete.then_some(addresses)
    }

    fn record(&mut self, key: &str, line: usize, socket: SocketAddr) {
        let key = key.to_owned();
        self.addresses.push(Address { key, line, socket });
    }

    /// Takes a duration within the widest range.
    pub(crate) fn duration(&mut self, key: &str, default: Duration) -> Option<Duration> {
        self.duration_within(key, default, DURATION_MIN..=DURATION_MAX)
    }

    pub(crate) fn duration_within(
        &mut self,
        key: &str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let accepted = unit::duration_form(&range);
        self.take(key, Some(default), &accepted, |value| {
            let length = unit::duration(value.as_str().ok_or(WRONG_TYPE)?)?;
            if !range.contains(&length) {
                return Err("length of time is out of range");
            }
            Ok(length)
        })
    }

    pub(crate) fn size(
        &mut self,
        key: &str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let accepted = unit::size_form(&range);
        self.take(key, Some(default), &accepted, |value| {
            let size = unit::size(value.as_str().ok_or(WRONG_TYPE)?)?;
            if !range.contains(&size) {
                return Err("size is out of range");
            }
            Ok(size)
        })
    }

    /// Takes a whole number.
    pub(crate) fn count(
        &mut self,
        key: &str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        self.take(key, Some(default), &accepted, |value| {
            let number = value.as_integer().ok_or(WRONG_TYPE)?;
            let number: usize = number.as_str().parse().map_err(|_| WRONG_TYPE)?;
            if !range.contains(&number) {
                return Err("number is out of range");
            }
            Ok(number)
        })
    }

    /// Takes processor time in cores; gets it in thousandths of a core.
    pub(crate) fn cores(&mut self, key: &str, default: u32) -> Option<u32> {
        let accepted = format!("a number of cores from {CORES_MIN} to {CORES_MAX}");
        self.take(key, Some(default), &accepted, |value| {
            let number = value.as_float().map(DeFloat::as_str);
            let number = number.or_else(|| value.as_integer().map(DeInteger::as_str));
            let cores: f64 = number
                .and_then(|text| text.parse().ok())
                .ok_or(WRONG_TYPE)?;
            if !(CORES_MIN..=CORES_MAX).contains(&cores) {
                return Err("number is out of range");
            }
            Ok(unit::thousandths(cores))
        })
    }

    pub(crate) fn choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let default = choices.first().map(|(_, value)| *value);
        self.take(key, default, &names.join(" or "), |value| {
            let text = value.as_str().ok_or(WRONG_TYPE)?;
            let chosen = choices.iter().find(|(name, _)| *name == text);
            chosen.map(|(_, value)| *value).ok_or("unknown choice")
        })
    }

    /// Adds a finding for each address that stands in the file before.
    fn check_addresses(&mut self) {
        for (index, later) in self.addresses.iter().enumerate() {
            let mut before = self.addresses[..index].iter();
            if let Some(earlier) = before.find(|earlier| overlap(earlier.socket, later.socket)) {
                let problem = format!("same address as {} on line {}", earlier.key, earlier.line);
                let seen = later.socket.to_string();
                let accepted = "an address of its own";
                self.findings
                    .add(later.line, &later.key, &seen, problem, accepted);
            }
        }
    }
}

/// Gets whether two addresses can't both be used.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (any || one.ip() == other.ip())
}

fn name_of(value: &DeValue) -> Result<ByteString, &'static str> {
    let text = value.as_str().ok_or(WRONG_TYPE)?;
    name::check(text)?;
    Ok(ByteString::from(text))
}

fn address(value: &DeValue) -> Result<SocketAddr, &'static str> {
    let text = value.as_str().ok_or(WRONG_TYPE)?;
    let address: SocketAddr = text.parse().map_err(|_| "not an address")?;
    if address.port() == 0 {
        return Err("port is 0");
    }
    Ok(address)
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}
