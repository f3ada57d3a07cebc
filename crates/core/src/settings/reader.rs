//! Reading of TOML tables, key by key, with the line of each finding.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::Findings;

/// Units that a duration may have, with their length.
const DURATION_UNITS: [(&str, Duration); 4] = [
    ("ms", Duration::from_millis(1)),
    ("s", Duration::from_secs(1)),
    ("m", Duration::from_mins(1)),
    ("h", Duration::from_hours(1)),
];
/// Units that a size may have, with their bytes.
const SIZE_UNITS: [(&str, usize); 3] = [("KiB", 1024), ("MiB", 1024 * 1024), ("B", 1)];
/// Longest name accepted, in bytes.
const NAME_MAX: usize = 64;

/// `Reader` takes the keys of a settings file one by one.
pub(crate) struct Reader<'a> {
    text: &'a str,
    table: DeTable<'a>,
    findings: Findings,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(text: &'a str) -> Result<Self, Findings> {
        match DeTable::parse(text) {
            Ok(table) => Ok(Self {
                text,
                table: table.into_inner(),
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

    /// Adds a finding for each key that nothing took, and returns all findings.
    pub(crate) fn finish(mut self) -> Findings {
        for (key, _) in &self.table {
            let line = line_of(self.text, key.span().start);
            self.findings
                .add(line, key.get_ref(), "", "unknown key", "");
        }
        self.findings
    }

    /// Takes a key whose value a function turns into its checked type.
    fn take<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        accepted: &str,
        check: impl Fn(&DeValue) -> Option<T>,
    ) -> Option<T> {
        let Some((name, value)) = self.table.remove_entry(key) else {
            if default.is_none() {
                self.findings.add(1, key, "", "key is missing", accepted);
            }
            return default;
        };
        let checked = check(value.get_ref());
        if checked.is_none() {
            let line = line_of(self.text, name.span().start);
            let seen = self.text.get(value.span()).unwrap_or_default();
            self.findings
                .add(line, key, seen, "value is not accepted", accepted);
        }
        checked
    }

    pub(crate) fn name(&mut self, key: &str) -> Option<ByteString> {
        let accepted = "a name of letters, digits, '-', '_' and '.', at most 64 characters";
        self.take(key, None, accepted, |value| {
            let text = value.as_str()?;
            let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            let good = !text.is_empty() && text.len() <= NAME_MAX && text.chars().all(allowed);
            good.then(|| ByteString::from(text))
        })
    }

    pub(crate) fn address(&mut self, key: &str) -> Option<SocketAddr> {
        let accepted = "an IP number with a port, such as \"127.0.0.1:8080\"";
        self.take(key, None, accepted, |value| value.as_str()?.parse().ok())
    }

    pub(crate) fn addresses(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        let accepted = "a list of IP numbers with ports";
        self.take(key, Some(Vec::new()), accepted, |value| {
            let items = value.as_array()?.iter();
            items
                .map(|item: &Spanned<DeValue>| item.get_ref().as_str()?.parse().ok())
                .collect()
        })
    }

    pub(crate) fn duration(&mut self, key: &str, default: Duration) -> Option<Duration> {
        let accepted = "a length of time above zero with its unit: ms, s, m or h";
        self.take(key, Some(default), accepted, |value| {
            let text = value.as_str()?;
            let (unit, length) = DURATION_UNITS
                .iter()
                .find(|(unit, _)| number_before(text, unit).is_some())?;
            let count = u32::try_from(number_before(text, unit)?).ok()?;
            length.checked_mul(count).filter(|length| !length.is_zero())
        })
    }

    pub(crate) fn size(&mut self, key: &str, default: usize) -> Option<usize> {
        let accepted = "a size above zero with its unit: B, KiB or MiB";
        self.take(key, Some(default), accepted, |value| {
            let text = value.as_str()?;
            let (unit, bytes) = SIZE_UNITS
                .iter()
                .find(|(unit, _)| number_before(text, unit).is_some())?;
            let count = usize::try_from(number_before(text, unit)?).ok()?;
            bytes.checked_mul(count).filter(|bytes| *bytes > 0)
        })
    }

    pub(crate) fn choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let default = choices.first().map(|(_, value)| *value);
        self.take(key, default, &names.join(" or "), |value| {
            let text = value.as_str()?;
            choices
                .iter()
                .find(|(name, _)| *name == text)
                .map(|(_, value)| *value)
        })
    }

    /// Adds a finding for addresses that stand under more than one key.
    pub(crate) fn check_distinct(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (index, (key, address)) in addresses.iter().enumerate() {
            if let Some((other, _)) = addresses[..index].iter().find(|(_, seen)| seen == address) {
                let problem = format!("same address as {other}");
                let seen = address.to_string();
                let line = self.text.lines().position(|line| {
                    line.split('=')
                        .next()
                        .is_some_and(|name| name.trim() == *key)
                });
                let line = line.map_or(1, |line| line + 1);
                self.findings
                    .add(line, key, &seen, problem, "an address of its own");
            }
        }
    }
}

fn number_before(text: &str, unit: &str) -> Option<u64> {
    text.strip_suffix(unit)?.trim_end().parse().ok()
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}
