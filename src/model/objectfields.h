#pragma once

#include "model/configset.h"

#include <map>
#include <string>

namespace Samphirepitch
{

/** The fields of an object as text, by the key that configuration files use. */
using FieldTexts = std::map<std::string, std::string>;

/** Return all fields but the name; the servers of a pool are objects of their own. */
FieldTexts fieldTexts(const FailureDomain &domain);
FieldTexts fieldTexts(const BackendPool &pool);
FieldTexts fieldTexts(const BackendServer &server);
FieldTexts fieldTexts(const Policy &policy);
FieldTexts fieldTexts(const Service &service);

/**
 * Returns the fields of all objects of @p set by the object's kind and name, such as "service pondwatch" and
 * "server pond/pond-01". Of objects with the same name the last one counts.
 */
std::map<std::string, FieldTexts> objectTexts(const ConfigSet &set);

} // namespace Samphirepitch
