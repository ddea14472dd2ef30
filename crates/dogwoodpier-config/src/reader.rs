//! Reading of TOML files that reports everything wrong at once, by line and field.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::problem::Finding;
use crate::problem::Problem;
use crate::problem::Problems;

const ADDRESS_HELP: &str = "give an IP address and a port, for example \"10.0.0.7:7100\"";

/// Reads the text of a file, or returns what is wrong as a problem of the file.
pub fn read_file(file: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(file).map_err(|error| {
        Problems(vec![Problem {
            file: file.display().to_string(),
            line: 1,
            path: String::new(),
            message: format!("can't be read: {error}"),
        }])
    })
}

/// Collects the problems of one file and the lines of its fields.
pub struct Diagnostics<'i> {
    file: String,
    text: &'i str,
    lines: BTreeMap<String, usize>,
    problems: Vec<Problem>,
}

impl<'i> Diagnostics<'i> {
    /// Returns an empty report on a file with the given text.
    pub fn new(file: &str, text: &'i str) -> Self {
        Self {
            file: file.to_owned(),
            text,
            lines: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Parses the text. A syntax error is reported, and what could be read is returned.
    pub fn parse(&mut self) -> Spanned<DeTable<'i>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let line = self.line_at(error.span().unwrap_or(0..0));
            self.push(line, "", format!("not valid TOML: {}", error.message()));
        }
        table
    }

    /// Adds a finding at the line of its field or of the nearest table around it.
    pub fn add(&mut self, finding: Finding) {
        let mut path = finding.path.as_str();
        let line = loop {
            if let Some(line) = self.lines.get(path) {
                break *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => break 1,
            }
        };
        self.push(line, &finding.path, finding.message);
    }

    /// Returns whether nothing was found wrong so far.
    pub fn is_clean(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns `value` if nothing was found wrong, else everything that was.
    pub fn finish<T>(mut self, value: T) -> Result<T, Problems> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(Problems(self.problems))
    }

    fn locate(&mut self, path: &str, span: Range<usize>) {
        let line = self.line_at(span);
        self.lines.insert(path.to_owned(), line);
    }

    fn line_at(&self, span: Range<usize>) -> usize {
        let end = span.start.min(self.text.len());
        1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
    }

    fn push(&mut self, line: usize, path: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line,
            path: path.to_owned(),
            message,
        });
    }
}

/// The fields of one table. Each read notes its field as known.
pub struct TableReader<'t, 'i> {
    path: String,
    table: Option<&'t DeTable<'i>>,
    known: Vec<&'static str>,
}

impl<'t, 'i> TableReader<'t, 'i> {
    /// Returns the fields of a whole file.
    pub fn root(table: &'t DeTable<'i>) -> Self {
        Self {
            path: String::new(),
            table: Some(table),
            known: Vec::new(),
        }
    }

    /// Returns the fields of a value that must be a table.
    pub fn open(path: &str, value: &'t Spanned<DeValue<'i>>, report: &mut Diagnostics<'_>) -> Self {
        report.locate(path, value.span());
        let table = value.get_ref().as_table();
        if table.is_none() {
            report.add(wrong_type(path, "a table", value));
        }
        Self {
            path: path.to_owned(),
            table,
            known: Vec::new(),
        }
    }

    /// Returns the path of a field of this table.
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Returns whether the table has the field.
    pub fn has(&self, field: &str) -> bool {
        self.table.is_some_and(|table| table.contains_key(field))
    }

    /// Returns the fields of a table inside this one. A missing table has no fields.
    pub fn table(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Self {
        let path = self.path_of(field);
        match self.value(field, report) {
            Some(value) => Self::open(&path, value, report),
            None => Self {
                path,
                table: None,
                known: Vec::new(),
            },
        }
    }

    /// Returns the named entries of a table inside this one.
    pub fn entries(
        &mut self,
        field: &'static str,
        report: &mut Diagnostics<'_>,
    ) -> Vec<(Arc<str>, Self)> {
        let table = self.table(field, report);
        let Some(entries) = table.table else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for (name, value) in entries {
            let path = table.path_of(name.get_ref());
            let fields = Self::open(&path, value, report);
            report.locate(&path, name.span());
            found.push((Arc::from(name.get_ref().as_ref()), fields));
        }
        found
    }

    /// Returns the tables of an array of tables.
    pub fn tables(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Vec<Self> {
        let path = self.path_of(field);
        let Some(value) = self.value(field, report) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            report.add(wrong_type(&path, &format!("tables `[[{field}]]`"), value));
            return Vec::new();
        };
        items
            .iter()
            .enumerate()
            .map(|(index, item)| Self::open(&format!("{path}[{index}]"), item, report))
            .collect()
    }

    /// Returns a text, if there is one.
    pub fn text(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Option<Arc<str>> {
        let path = self.path_of(field);
        let value = self.value(field, report)?;
        let text = value.get_ref().as_str().map(Arc::from);
        if text.is_none() {
            report.add(wrong_type(&path, "a text in quotes", value));
        }
        text
    }

    /// Returns a list of texts, empty if there is none.
    pub fn texts(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Vec<Arc<str>> {
        let path = self.path_of(field);
        let Some(value) = self.value(field, report) else {
            return Vec::new();
        };
        let texts: Option<Vec<Arc<str>>> = value.get_ref().as_array().and_then(|items| {
            items
                .iter()
                .map(|item| item.get_ref().as_str().map(Arc::from))
                .collect()
        });
        texts.unwrap_or_else(|| {
            report.add(wrong_type(&path, "a list of texts, [\"...\"]", value));
            Vec::new()
        })
    }

    /// Returns an integer, if there is one.
    pub fn integer(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Option<i64> {
        let path = self.path_of(field);
        let value = self.value(field, report)?;
        let integer = value
            .get_ref()
            .as_integer()
            .and_then(|digits| i64::from_str_radix(digits.as_str(), digits.radix()).ok());
        if integer.is_none() {
            report.add(wrong_type(&path, "a whole number", value));
        }
        integer
    }

    /// Returns a number, whole or not, if there is one.
    pub fn number(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Option<f64> {
        let path = self.path_of(field);
        let value = self.value(field, report)?;
        let number = match value.get_ref() {
            DeValue::Integer(digits) => digits.as_str().parse().ok(),
            DeValue::Float(digits) => digits.as_str().parse().ok(),
            _ => None,
        };
        if number.is_none() {
            report.add(wrong_type(&path, "a number", value));
        }
        number
    }

    /// Returns `true` or `false`, if there is one.
    pub fn flag(&mut self, field: &'static str, report: &mut Diagnostics<'_>) -> Option<bool> {
        let path = self.path_of(field);
        let value = self.value(field, report)?;
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            report.add(wrong_type(&path, "true or false", value));
        }
        flag
    }

    /// Returns an address with a port, which must be there.
    pub fn address(
        &mut self,
        field: &'static str,
        report: &mut Diagnostics<'_>,
    ) -> Option<SocketAddr> {
        self.require(field, ADDRESS_HELP, report);
        self.optional_address(field, report)
    }

    /// Returns an address with a port, if the field is there.
    pub fn optional_address(
        &mut self,
        field: &'static str,
        report: &mut Diagnostics<'_>,
    ) -> Option<SocketAddr> {
        let text = self.text(field, report)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            _ => {
                let message = format!("{text:?} is no address: {ADDRESS_HELP}");
                report.add(Finding::new(self.path_of(field), message));
                None
            }
        }
    }

    /// Reports a field as missing, with what would be right, unless the table has it.
    pub fn require(&self, field: &'static str, right: &str, report: &mut Diagnostics<'_>) {
        if !self.has(field) {
            report.add(Finding::new(
                self.path_of(field),
                format!("is missing: {right}"),
            ));
        }
    }

    /// Reports the fields of the table that nothing read.
    pub fn finish(self, report: &mut Diagnostics<'_>) {
        let Some(table) = self.table else {
            return;
        };
        for (name, _) in table {
            let field = name.get_ref().as_ref();
            if !self.known.contains(&field) {
                let path = self.path_of(field);
                report.locate(&path, name.span());
                let known = self.known.join(", ");
                report.add(Finding::new(
                    path,
                    format!("unknown field; known here: {known}"),
                ));
            }
        }
    }

    /// Notes a field as known without reading it, and returns its value.
    pub fn value(
        &mut self,
        field: &'static str,
        report: &mut Diagnostics<'_>,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        self.known.push(field);
        let value = self.table?.get(field)?;
        report.locate(&self.path_of(field), value.span());
        Some(value)
    }
}

fn wrong_type(path: &str, right: &str, value: &Spanned<DeValue<'_>>) -> Finding {
    let found = value.get_ref().type_str();
    Finding::new(
        path,
        format!("must be {right}, not a value of type {found}"),
    )
}
