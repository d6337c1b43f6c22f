#ifndef CURRANTWALK_NET_TESTS_TESTKEYS_H
#define CURRANTWALK_NET_TESTS_TESTKEYS_H

#include <string>

#include "net/http.h"

namespace currantwalk {

/// A directory of PEM files, made at run time and removed at the end: one authority, and
/// certificates that it has signed.
class TestKeys
{
public:
    TestKeys();
    ~TestKeys();
    TestKeys(const TestKeys &) = delete;
    TestKeys &operator=(const TestKeys &) = delete;

    /// Makes a certificate with the subject alternative names \a names, such as "IP:127.0.0.1".
    TlsFiles makeCertificate(const std::string &names);
    /// Returns the file of the authority's certificate.
    std::string authority() const { return m_directory + "/authority.pem"; }

private:
    struct Issuer;

    std::string m_directory;
    Issuer *m_issuer;
    int m_count = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_TESTS_TESTKEYS_H
