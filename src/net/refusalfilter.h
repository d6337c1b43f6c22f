#ifndef CURRANTWALK_NET_REFUSALFILTER_H
#define CURRANTWALK_NET_REFUSALFILTER_H

#include "net/h2oapi.h"

namespace currantwalk {

/// Has the errors that the library itself answers on \a path carry a typed error as JSON.
void registerRefusalFilter(h2o_pathconf_t *path);

} // namespace currantwalk

#endif // CURRANTWALK_NET_REFUSALFILTER_H
