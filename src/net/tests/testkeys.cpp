#include "net/tests/testkeys.h"

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace currantwalk {

static constexpr long ValiditySeconds = 3600;

struct TestKeys::Issuer
{
    EVP_PKEY *key = nullptr;
    X509 *certificate = nullptr;
};

static void addExtension(X509 *certificate, X509 *issuer, int number, const std::string &value)
{
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, number, value.c_str());
    assert(extension);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

static X509 *makeUnsigned(EVP_PKEY *key, const std::string &commonName, long serial)
{
    X509 *certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -ValiditySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate), ValiditySeconds);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(commonName.c_str()), -1, -1,
                               0);
    return certificate;
}

static void writePem(const std::string &path, X509 *certificate, EVP_PKEY *key)
{
    std::FILE *file = std::fopen(path.c_str(), "w");
    assert(file);
    if (certificate)
        PEM_write_X509(file, certificate);
    if (key)
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
}

TestKeys::TestKeys() : m_issuer(new Issuer)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "keysXXXXXX").string();
    const char *made = mkdtemp(pattern.data());
    assert(made && "the system gives a temporary directory");
    m_directory = made;
    m_issuer->key = EVP_EC_gen("P-256");
    m_issuer->certificate = makeUnsigned(m_issuer->key, "test authority", 1);
    X509_set_issuer_name(m_issuer->certificate, X509_get_subject_name(m_issuer->certificate));
    addExtension(m_issuer->certificate, m_issuer->certificate, NID_basic_constraints,
                 "critical,CA:TRUE");
    X509_sign(m_issuer->certificate, m_issuer->key, EVP_sha256());
    writePem(authority(), m_issuer->certificate, nullptr);
}

TestKeys::~TestKeys()
{
    X509_free(m_issuer->certificate);
    EVP_PKEY_free(m_issuer->key);
    delete m_issuer;
    std::filesystem::remove_all(m_directory);
}

TlsFiles TestKeys::makeCertificate(const std::string &names)
{
    const std::string stem = m_directory + "/" + std::to_string(++m_count);
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = makeUnsigned(key, "test", 1 + m_count);
    X509_set_issuer_name(certificate, X509_get_subject_name(m_issuer->certificate));
    if (!names.empty())
        addExtension(certificate, m_issuer->certificate, NID_subject_alt_name, names);
    X509_sign(certificate, m_issuer->key, EVP_sha256());
    const TlsFiles files{stem + ".pem", stem + ".key", {}};
    writePem(files.certificate, certificate, nullptr);
    writePem(files.privateKey, nullptr, key);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
}

} // namespace currantwalk
