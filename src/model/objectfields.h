#pragma once

#include "model/configset.h"

#include <map>
#include <string>

namespace Samphirepitch
{

/** The fields of an object as text, by the key of the configuration file. */
using FieldTexts = std::map<std::string, std::string>;

/** Return all fields of an object except its name and, for a pool, its backend servers. */
FieldTexts fieldTexts(const FailureDomain &domain);
FieldTexts fieldTexts(const BackendPool &pool);
FieldTexts fieldTexts(const BackendServer &server);
FieldTexts fieldTexts(const Policy &policy);
FieldTexts fieldTexts(const Service &service);

/**
 * Returns the fields of all objects of @p set, backend servers included, by kind and name of the object, such as
 * "service pondwatch" and "server pond/pond-01". If several objects have the same name, the last one is returned.
 */
std::map<std::string, FieldTexts> objectTexts(const ConfigSet &set);

} // namespace Samphirepitch
