//! Settings files of programs: read whole, with everything that is wrong reported at once.

use std::path::Path;

use crate::problem::Problems;
use crate::reader;
use crate::reader::Diagnostics;
use crate::reader::TableReader;

/// Loads settings from a file with `parse`, or returns everything that is wrong with them.
pub fn load<T, P>(file: &Path, parse: P) -> Result<T, Problems>
where
    P: FnOnce(&str, &str) -> Result<T, Problems>,
{
    let text = reader::read_file(file)?;
    parse(&file.display().to_string(), &text)
}

/// Parses settings: `read` reads each field, then `check` looks at what involves several of them if
/// nothing was wrong so far. `file` names the text in messages.
///
/// # Panics
///
/// Panics if `read` returns nothing without having reported why.
pub fn parse<T, R, C>(file: &str, text: &str, read: R, check: C) -> Result<T, Problems>
where
    R: FnOnce(TableReader<'_, '_>, &mut Diagnostics<'_>) -> Option<T>,
    C: FnOnce(&T, &mut Diagnostics<'_>),
{
    let mut report = Diagnostics::new(file, text);
    let table = report.parse();
    let settings = read(TableReader::root(table.get_ref()), &mut report);
    if report.is_clean()
        && let Some(settings) = &settings
    {
        check(settings, &mut report);
    }
    report
        .finish(())
        .map(|()| settings.expect("a clean report has read all settings"))
}
