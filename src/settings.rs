//! Settings of the daemon, from flags and environment variables.
//!
//! They are validated before the process starts to serve: a missing, malformed or unknown setting
//! ends it with an error message.

use std::ffi::OsString;
use std::net::SocketAddr;

use pico_args::Arguments;
use thiserror::Error;

/// One setting: flag, environment variable, default and meaning.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag.
    pub flag: &'static str,
    /// Name of the environment variable; the flag takes precedence.
    pub variable: &'static str,
    /// Value if neither flag nor variable is given; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description in the help text.
    pub meaning: &'static str,
}

macro_rules! spec {
    ($flag:literal, $variable:literal, $default:expr, $meaning:literal) => {
        SettingSpec {
            flag: $flag,
            variable: $variable,
            default: $default,
            meaning: $meaning,
        }
    };
}

/// All settings of the daemon.
pub const SETTING_SPECS: &[SettingSpec] = &[
    spec!("--vm", "CLOVERRACK_VM", None, "name of this VM"),
    spec!("--region", "CLOVERRACK_REGION", None, "region of this VM"),
    spec!(
        "--failure-domain",
        "CLOVERRACK_FAILURE_DOMAIN",
        None,
        "failure domain of this VM"
    ),
    spec!("--listen", "CLOVERRACK_LISTEN", None, "IP:PORT for callers"),
    spec!(
        "--internal",
        "CLOVERRACK_INTERNAL",
        None,
        "IP:PORT for other VMs, TCP and UDP"
    ),
    spec!(
        "--operator",
        "CLOVERRACK_OPERATOR",
        None,
        "IP:PORT for operators"
    ),
    spec!(
        "--platform",
        "CLOVERRACK_PLATFORM",
        None,
        "IP:PORT of the configuration service"
    ),
    spec!(
        "--peers",
        "CLOVERRACK_PEERS",
        Some(""),
        "IP:PORT,... of VMs to contact at start"
    ),
    spec!(
        "--keep-ms",
        "CLOVERRACK_KEEP_MS",
        Some("5000"),
        "time in ms for which callers may cache addresses"
    ),
    spec!(
        "--log",
        "CLOVERRACK_LOG",
        Some("info"),
        "log filter, such as info or cloverrack=debug"
    ),
];

/// Largest accepted value of `--keep-ms`.
const MAX_KEEP_MS: u64 = 600_000;

/// Validated settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Box<str>,
    /// Region of this VM.
    pub region: Box<str>,
    /// Failure domain of this VM.
    pub failure_domain: Box<str>,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the internal listener.
    pub internal_address: SocketAddr,
    /// Address of the listener for operators.
    pub operator_address: SocketAddr,
    /// Address of the configuration service.
    pub platform: SocketAddr,
    /// VMs to contact at start, besides those on the VM list.
    pub peers: Vec<SocketAddr>,
    /// Time for which callers may cache addresses of entry VMs.
    pub keep_ms: u64,
    /// Log filter.
    pub log: Box<str>,
}

/// A setting is missing, malformed or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("{flag} or {variable} is required")]
    Missing {
        /// Name of the flag.
        flag: &'static str,
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// A value is malformed.
    #[error("{flag} {value}: expected {expected}")]
    Malformed {
        /// Name of the flag.
        flag: &'static str,
        /// Value given.
        value: Box<str>,
        /// Values that the setting accepts.
        expected: &'static str,
    },
    /// An argument is not a flag of the daemon.
    #[error("unknown argument {0}")]
    Unknown(Box<str>),
}

/// Reads single settings from the arguments, else from the environment, else from their defaults.
struct SettingSource<'a> {
    arguments: Arguments,
    read_env: &'a dyn Fn(&str) -> Option<String>,
}

impl SettingSource<'_> {
    fn text(&mut self, flag: &'static str) -> Result<Box<str>, SettingsError> {
        let Some(spec) = SETTING_SPECS.iter().find(|spec| spec.flag == flag) else {
            return Err(SettingsError::Unknown(flag.into()));
        };
        let malformed = |_| SettingsError::Malformed {
            flag,
            value: "".into(),
            expected: "a value after the flag",
        };
        let given: Option<String> = self.arguments.opt_value_from_str(flag).map_err(malformed)?;
        let value = given.or_else(|| (self.read_env)(spec.variable));
        let value = value.or_else(|| spec.default.map(str::to_owned));
        let missing = SettingsError::Missing {
            flag,
            variable: spec.variable,
        };
        value.map(String::into_boxed_str).ok_or(missing)
    }

    fn name(&mut self, flag: &'static str) -> Result<Box<str>, SettingsError> {
        let value = self.text(flag)?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if !value.is_empty() && value.len() <= 63 && value.chars().all(is_allowed) {
            return Ok(value);
        }
        let expected = "1 to 63 letters, digits, '-', '_' or '.'";
        Err(SettingsError::Malformed {
            flag,
            value,
            expected,
        })
    }

    fn address(&mut self, flag: &'static str) -> Result<SocketAddr, SettingsError> {
        let value = self.text(flag)?;
        let parsed = value.parse();
        parsed.map_err(|_| SettingsError::Malformed {
            flag,
            value,
            expected: "IP:PORT",
        })
    }

    fn addresses(&mut self, flag: &'static str) -> Result<Vec<SocketAddr>, SettingsError> {
        let value = self.text(flag)?;
        let mut addresses = Vec::new();
        for part in value.split(',').filter(|part| !part.is_empty()) {
            let expected = "IP:PORT,IP:PORT,...";
            let malformed = || SettingsError::Malformed {
                flag,
                value: value.clone(),
                expected,
            };
            addresses.push(part.parse().map_err(|_| malformed())?);
        }
        Ok(addresses)
    }

    fn keep_ms(&mut self) -> Result<u64, SettingsError> {
        let flag = "--keep-ms";
        let value = self.text(flag)?;
        match value.parse() {
            Ok(number) if number <= MAX_KEEP_MS => Ok(number),
            _ => Err(SettingsError::Malformed {
                flag,
                value,
                expected: "0 to 600000",
            }),
        }
    }
}

impl Settings {
    /// Reads settings from arguments and, where a flag is missing, from the environment through
    /// `read_env`.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing, malformed or unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::{Settings, SettingsError};
    /// let result = Settings::parse(vec![], &|_| None);
    /// assert!(matches!(result, Err(SettingsError::Missing { flag: "--vm", .. })));
    /// ```
    pub fn parse(
        arguments: Vec<OsString>,
        read_env: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let arguments = Arguments::from_vec(arguments);
        let mut source = SettingSource {
            arguments,
            read_env,
        };
        let settings = Self {
            vm: source.name("--vm")?,
            region: source.name("--region")?,
            failure_domain: source.name("--failure-domain")?,
            caller_address: source.address("--listen")?,
            internal_address: source.address("--internal")?,
            operator_address: source.address("--operator")?,
            platform: source.address("--platform")?,
            peers: source.addresses("--peers")?,
            keep_ms: source.keep_ms()?,
            log: source.text("--log")?,
        };
        match source.arguments.finish().first() {
            Some(extra) => Err(SettingsError::Unknown(extra.to_string_lossy().into())),
            None => Ok(settings),
        }
    }
}
