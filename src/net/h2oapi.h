#ifndef CURRANTWALK_NET_H2OAPI_H
#define CURRANTWALK_NET_H2OAPI_H

// Private to src/net: the one place that includes the library's headers.
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

#endif // CURRANTWALK_NET_H2OAPI_H
