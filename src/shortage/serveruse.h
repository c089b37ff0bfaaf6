#pragma once

namespace Samphirepitch
{

/** What a server counts for in the admission of requests. */
enum class ServerUse {
    Usable,
    Slow, /**< It responds much later than others; requests at it need no room at them. */
    Unusable, /**< It has failed, so that requests at it get no response. */
};

} // namespace Samphirepitch
