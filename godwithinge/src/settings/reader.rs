//! Typed access to the sections of an INI file; collects errors instead of stopping at the first.

use super::{Error, ErrorKind, Secret, default_value, value};
use compact_str::CompactString;
use ini::Ini;
use std::{collections::BTreeSet, net::SocketAddr, ops::RangeInclusive, time::Duration};

/// Accepted section names, for error messages.
const SECTIONS: &str = "daemon, platform, peers, entry, planner, pool NAME, model NAME";

/// Parsed file and the errors found so far.
#[derive(Debug)]
pub(super) struct Reader {
    ini: Ini,
    errors: Vec<Error>,
    read_sections: BTreeSet<CompactString>,
}

/// One section of the file. On drop, reports duplicate keys and keys that were never read.
#[derive(Debug)]
pub(super) struct Section<'a> {
    reader: &'a mut Reader,
    name: CompactString,
    known_keys: Vec<&'static str>,
}

impl Reader {
    pub(super) fn new(text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|cause| Error::new("", "", ErrorKind::Syntax(cause)))?;
        Ok(Self {
            ini,
            errors: Vec::new(),
            read_sections: BTreeSet::new(),
        })
    }

    /// Starts reading a section; an absent section is treated as empty.
    pub(super) fn section(&mut self, name: &str) -> Section<'_> {
        if self.ini.section_all(Some(name)).count() > 1 {
            self.push_error(name, "", ErrorKind::Duplicate);
        }
        self.read_sections.insert(name.into());
        Section {
            reader: self,
            name: name.into(),
            known_keys: Vec::new(),
        }
    }

    /// Returns the names that begin with `prefix`, sorted and without duplicates.
    pub(super) fn section_names(&self, prefix: &str) -> Vec<CompactString> {
        let names = self.ini.sections().flatten();
        let found: BTreeSet<CompactString> = names
            .filter(|name| name.starts_with(prefix))
            .map(Into::into)
            .collect();
        found.into_iter().collect()
    }

    pub(super) fn push_error(&mut self, section: &str, key: &str, kind: ErrorKind) {
        self.errors.push(Error::new(section, key, kind));
    }

    /// Returns all errors, including one for each section that was never read and for each key
    /// that precedes the first section.
    pub(super) fn into_errors(mut self) -> Vec<Error> {
        let names: BTreeSet<CompactString> =
            self.ini.sections().flatten().map(Into::into).collect();
        for name in names.difference(&self.read_sections.clone()) {
            self.push_error(name, "", ErrorKind::UnknownSection { allowed: SECTIONS });
        }
        let keys_outside_sections: Vec<CompactString> = self
            .ini
            .general_section()
            .iter()
            .map(|(key, _)| key.into())
            .collect();
        for key in keys_outside_sections {
            self.push_error("", &key, ErrorKind::UnknownSection { allowed: SECTIONS });
        }
        self.errors
    }
}

impl Section<'_> {
    /// Reads a name of letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&mut self, key: &'static str) -> Option<CompactString> {
        let allowed = "letters, digits, '-', '_' and '.'";
        self.parse(key, allowed, |text| {
            value::is_valid_name(text).then(|| text.into())
        })
    }

    /// Reads an IP address and port. Host names are rejected.
    pub(super) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.parse(key, "IP address and port, such as 10.0.0.1:7000", |text| {
            text.parse().ok()
        })
    }

    /// Reads a possibly empty comma-separated list of IP addresses with ports.
    pub(super) fn addresses(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let allowed = "comma-separated IP addresses with ports";
        self.parse(key, allowed, |text| {
            let parts = text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty());
            parts.map(|part| part.parse().ok()).collect()
        })
    }

    /// Reads a secret; errors do not contain its value.
    pub(super) fn secret(&mut self, key: &'static str) -> Option<Secret> {
        let allowed = format!("at least {MIN_SECRET_BYTES} bytes");
        let text = self.raw_value(key, &allowed)?;
        if text.len() < MIN_SECRET_BYTES {
            self.push_invalid(key, "", allowed);
            return None;
        }
        Some(Secret::new(text))
    }

    /// Reads an integer within `range`.
    pub(super) fn integer(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let allowed = format!("integer from {} to {}", range.start(), range.end());
        self.parse(key, &allowed, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Reads a duration with a unit within `range`.
    pub(super) fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let allowed = format!(
            "integer with unit ms, s, m, h or d, from {} to {}",
            value::format_duration(*range.start()),
            value::format_duration(*range.end())
        );
        self.parse(key, &allowed, |text| {
            value::parse_duration(text).filter(|time| range.contains(time))
        })
    }

    /// Reads `yes` or `no`.
    pub(super) fn flag(&mut self, key: &'static str) -> Option<bool> {
        self.parse(key, "yes or no", value::parse_flag)
    }

    /// Reads a value with `parse`, which returns `None` for an invalid value.
    pub(super) fn parse<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.raw_value(key, allowed)?;
        let parsed = parse(&text);
        if parsed.is_none() {
            self.push_invalid(key, &text, allowed.into());
        }
        parsed
    }

    /// Returns the text of `key` or its default value, and marks the key as known.
    fn raw_value(&mut self, key: &'static str, allowed: &str) -> Option<CompactString> {
        self.known_keys.push(key);
        let section = self.reader.ini.section(Some(self.name.as_str()));
        let found = section
            .and_then(|section| section.get(key))
            .map(Into::into)
            .or_else(|| default_value(&self.name, key).map(Into::into));
        if found.is_none() {
            let allowed = allowed.into();
            self.reader
                .push_error(&self.name, key, ErrorKind::Missing { allowed });
        }
        found
    }

    fn push_invalid(&mut self, key: &str, value: &str, allowed: String) {
        let value = value.into();
        self.reader
            .push_error(&self.name, key, ErrorKind::Invalid { value, allowed });
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let Some(section) = self.reader.ini.section(Some(self.name.as_str())) else {
            return;
        };
        let keys: BTreeSet<CompactString> = section.iter().map(|(key, _)| key.into()).collect();
        let repeated = keys.iter().filter(|key| section.get_all(key).count() > 1);
        let repeated: Vec<CompactString> = repeated.cloned().collect();
        for key in repeated {
            self.reader
                .push_error(&self.name, &key, ErrorKind::Duplicate);
        }
        for key in keys {
            if !self.known_keys.contains(&key.as_str()) {
                let allowed = self.known_keys.clone();
                self.reader
                    .push_error(&self.name, &key, ErrorKind::UnknownKey { allowed });
            }
        }
    }
}

/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 8;
