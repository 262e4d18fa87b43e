//! Keys of the exchange: a small authority of the office's own, certificates that it signs, and the TLS that
//! comes of them. Mutual TLS 1.3 only; a certificate serves and asks alike.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use silverspindle_conf::Files;
use time::{Duration, OffsetDateTime};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// Days that a new certificate holds where nothing else is said: an authority's, a router's.
pub const AUTHORITY_DAYS: u32 = 3650;
/// See [`AUTHORITY_DAYS`].
pub const ROUTER_DAYS: u32 = 365;
/// A certificate that ends within so many days is warned of.
const SOON: i64 = 30;
const HOUR: i64 = 3600;

type Fault = String;

fn named<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> Fault + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Writes a file that is not there yet; a key for its owner's eyes alone.
fn write(path: &Path, text: &str, secret: bool) -> Result<(), Fault> {
    let mode = if secret { 0o600 } else { 0o644 };
    let file = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    file.and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| f.sync_all())).map_err(named(path))
}

fn params(
    name: &str,
    names: Vec<String>,
    now: OffsetDateTime,
    days: u32,
) -> Result<CertificateParams, Fault> {
    let mut params = CertificateParams::new(names).map_err(|e| format!("{name}: {e}"))?;
    // Clocks differ: it holds from an hour ago on.
    params.not_before = now - Duration::seconds(HOUR);
    params.not_after = now + Duration::days(i64::from(days));
    params.distinguished_name = rcgen::DistinguishedName::new();
    params.distinguished_name.push(DnType::CommonName, name);
    Ok(params)
}

/// Makes an authority: `authority.pem` and `authority.key` in a folder, which is made where it is absent.
pub fn init(folder: &Path, days: u32) -> Result<(), Fault> {
    fs::create_dir_all(folder).map_err(named(folder))?;
    let mut params = params("silverspindle authority", vec![], OffsetDateTime::now_utc(), days)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    let key = KeyPair::generate().map_err(|e| e.to_string())?;
    let certificate = params.self_signed(&key).map_err(|e| e.to_string())?;
    write(&folder.join("authority.key"), &key.serialize_pem(), true)?;
    write(&folder.join("authority.pem"), &certificate.pem(), false)
}

/// Signs a certificate for the router of this name: `NAME.pem` and `NAME.key` in the authority's folder.
pub fn issue(folder: &Path, name: &str, days: u32) -> Result<(), Fault> {
    issue_at(OffsetDateTime::now_utc(), folder, name, days)
}

/// The same as of another time.
pub fn issue_at(now: OffsetDateTime, folder: &Path, name: &str, days: u32) -> Result<(), Fault> {
    let good = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 63 || !name.chars().all(good) || name == "authority" {
        return Err(format!("{name:?} is no name: letters, digits, '-', '_', '.', 63 at most"));
    }
    let read = |file: &str| {
        let path = folder.join(file);
        fs::read_to_string(&path).map_err(named(&path))
    };
    let key = KeyPair::from_pem(&read("authority.key")?).map_err(named(&folder.join("authority.key")))?;
    let authority = Issuer::from_ca_cert_pem(&read("authority.pem")?, key);
    let authority = authority.map_err(named(&folder.join("authority.pem")))?;
    let mut params = params(name, vec![name.to_owned()], now, days)?;
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let key = KeyPair::generate().map_err(|e| e.to_string())?;
    let certificate = params.signed_by(&key, &authority).map_err(|e| e.to_string())?;
    write(&folder.join(format!("{name}.key")), &key.serialize_pem(), true)?;
    write(&folder.join(format!("{name}.pem")), &certificate.pem(), false)
}

/// What a person wants to know of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct About {
    /// Whose it is, by its subject.
    pub subject: String,
    /// Names that it is good for.
    pub names: Vec<String>,
    /// Who signed it.
    pub issuer: String,
    /// The day on which it ends.
    pub until: String,
    ends: OffsetDateTime,
}

impl About {
    /// Days left as of now.
    fn left(&self) -> i64 {
        (self.ends - OffsetDateTime::now_utc()).whole_days()
    }

    /// Says so where it has ended or ends soon.
    fn warn(&self, path: &Path) {
        let name = path.display();
        match self.left() {
            ..0 => tracing::error!("{name}: the certificate has ended on {}", self.until),
            days @ 0..SOON => {
                tracing::warn!("{name}: the certificate ends on {}, in {days} days", self.until)
            }
            _ => {}
        }
    }
}

/// Reads what a certificate says.
pub fn about(der: &[u8]) -> Result<About, Fault> {
    let (_, x509) = X509Certificate::from_der(der).map_err(|e| format!("is no certificate: {e}"))?;
    let names = x509.subject_alternative_name().ok().flatten();
    let names = names.iter().flat_map(|names| &names.value.general_names).filter_map(|name| match name {
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    });
    let until = x509.validity().not_after.to_datetime();
    Ok(About {
        subject: x509.subject().to_string(),
        names: names.collect(),
        issuer: x509.issuer().to_string(),
        until: until.date().to_string(),
        ends: until,
    })
}

/// Prints what a certificate file says.
pub fn show(path: &Path) -> Result<String, Fault> {
    let der = CertificateDer::from_pem_file(path).map_err(named(path))?;
    let a = about(&der).map_err(named(path))?;
    let left = if a.left() < 0 { "has ended".to_owned() } else { format!("{} days left", a.left()) };
    let names = if a.names.is_empty() { "-".to_owned() } else { a.names.join(", ") };
    Ok(format!(
        "subject: {}\nnames:   {names}\nissuer:  {}\nuntil:   {}, {left}\n",
        a.subject, a.issuer, a.until
    ))
}

/// Both sides' TLS.
#[derive(Clone, Debug)]
pub struct Tls {
    /// For asking.
    pub client: Arc<ClientConfig>,
    /// For giving.
    pub server: Arc<ServerConfig>,
    /// The certificates that end.
    ends: Vec<(PathBuf, About)>,
}

impl Tls {
    /// Warns of certificates that end, as at the start: a router may run for longer than they hold.
    pub fn warn(&self) {
        self.ends.iter().for_each(|(path, about)| about.warn(path));
    }

    /// Reads the three files. Warns of a certificate that has ended or ends soon.
    pub fn read(files: &Files) -> Result<Self, Fault> {
        let authority = CertificateDer::from_pem_file(&files.authority).map_err(named(&files.authority))?;
        let chain = CertificateDer::pem_file_iter(&files.certificate).map_err(named(&files.certificate))?;
        let chain: Vec<CertificateDer> =
            chain.collect::<Result<_, _>>().map_err(named(&files.certificate))?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(named(&files.key))?;
        let ends = [(&files.authority, Some(&authority)), (&files.certificate, chain.first())];
        let ends = ends.into_iter().filter_map(|(path, der)| Some((path.clone(), about(der?).ok()?)));
        let ends: Vec<(PathBuf, About)> = ends.collect();
        ends.iter().for_each(|(path, about)| about.warn(path));
        let mut roots = RootCertStore::empty();
        roots.add(authority).map_err(named(&files.authority))?;
        let (roots, provider) = (Arc::new(roots), Arc::new(rustls::crypto::ring::default_provider()));
        let versions = [&rustls::version::TLS13];
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build();
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&versions)
            .map_err(|e| e.to_string())?
            .with_client_cert_verifier(verifier.map_err(|e| e.to_string())?)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(named(&files.certificate))?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&versions)
            .map_err(|e| e.to_string())?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(named(&files.certificate))?;
        Ok(Self { client: Arc::new(client), server: Arc::new(server), ends })
    }
}
