// Stand-ins for the cases of the second review: the platform's store, backend servers, clients and the routers, in one process with one
// thread. Instances of samphirepitchd are started as processes. Only loopback addresses are used.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <vector>

using Json = nlohmann::json;
using std::string;

namespace
{

// ---------------------------------------------------------------- time, record, loop

double steadyNow()
{
    timespec t {};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

double g_start = 0;
double now()
{
    return steadyNow() - g_start;
}

FILE *g_record = nullptr;
std::vector<string> g_broken;

void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
void note(const char *format, ...)
{
    std::fprintf(g_record, "%9.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(g_record, format, arguments);
    va_end(arguments);
    std::fputc('\n', g_record);
}

void broken(const string &what)
{
    note("BROKEN %s", what.c_str());
    g_broken.push_back(what);
}

struct Timer {
    double at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Timer &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};
std::priority_queue<Timer> g_timers;
std::uint64_t g_timerOrder = 0;
void at(double time, std::function<void()> run)
{
    g_timers.push({ time, ++g_timerOrder, std::move(run) });
}
void after(double delay, std::function<void()> run)
{
    at(now() + delay, std::move(run));
}

std::map<int, std::function<void()>> g_readers;
bool g_stop = false;

void runLoop(double end)
{
    while (!g_stop && now() < end) {
        std::vector<pollfd> polled;
        for (const auto &entry : g_readers) {
            polled.push_back({ entry.first, POLLIN, 0 });
        }
        double wait = end - now();
        if (!g_timers.empty()) {
            wait = std::min(wait, g_timers.top().at - now());
        }
        poll(polled.data(), polled.size(), wait <= 0 ? 0 : static_cast<int>(wait * 1000) + 1);
        while (!g_timers.empty() && g_timers.top().at <= now()) {
            const auto run = g_timers.top().run;
            g_timers.pop();
            run();
        }
        for (const pollfd &entry : polled) {
            if (entry.revents == 0) {
                continue;
            }
            const auto found = g_readers.find(entry.fd);
            if (found != g_readers.end()) {
                const auto run = found->second;
                run();
            }
        }
    }
}

std::mt19937_64 g_random(1);
std::uint64_t below(std::uint64_t limit)
{
    return g_random() % limit;
}

// ---------------------------------------------------------------- addresses and sockets

struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Address &) const = default;
    string text() const
    {
        return host() + ':' + std::to_string(port);
    }
    string host() const
    {
        return std::to_string(ip >> 24) + '.' + std::to_string(ip >> 16 & 255) + '.' + std::to_string(ip >> 8 & 255) + '.'
            + std::to_string(ip & 255);
    }
    sockaddr_in native() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_addr.s_addr = htonl(ip);
        result.sin_port = htons(port);
        return result;
    }
};

std::uint32_t g_net = 0; // a /16 of 127.0.0.0/8
Address address(unsigned group, unsigned host, unsigned port)
{
    return { g_net | group << 8 | host, static_cast<std::uint16_t>(port) };
}

void endInstances();

[[noreturn]] void cannotRun(const string &why)
{
    endInstances();
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    if (g_record != nullptr) {
        note("the case could not run: %s", why.c_str());
        std::fclose(g_record);
    }
    std::_Exit(2);
}

int openSocket(int type, Address local)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const sockaddr_in target = local.native();
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        if (descriptor >= 0) {
            close(descriptor);
        }
        return -1;
    }
    if (type == SOCK_STREAM && listen(descriptor, 128) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

// ---------------------------------------------------------------- packets

struct Packet {
    Address source, target;
    std::uint32_t echo = 0, sum = 0, seq = 0, ack = 0;
    std::uint8_t flags = 0;
    string data;
};
constexpr std::uint8_t SYN = 32, ACK = 4, FIN = 16, RST = 8, BOUNCED = 128;

void put(string &out, std::uint64_t value, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> shift & 255);
    }
}
std::uint64_t take(const string &in, std::size_t offset, int bytes)
{
    std::uint64_t value = 0;
    for (int index = 0; index < bytes; ++index) {
        value = value << 8 | static_cast<std::uint8_t>(in[offset + static_cast<std::size_t>(index)]);
    }
    return value;
}

std::uint32_t keyedSum(const Packet &packet)
{
    string text = "key of the clients and servers";
    put(text, packet.source.ip, 4);
    put(text, packet.source.port, 2);
    put(text, packet.target.ip, 4);
    put(text, packet.target.port, 2);
    put(text, packet.flags & ~BOUNCED, 1);
    put(text, packet.seq, 4);
    put(text, packet.ack, 4);
    put(text, packet.data.size(), 2);
    text += packet.data;
    std::uint32_t hash = 2166136261U;
    for (const char byte : text) {
        hash = (hash ^ static_cast<std::uint8_t>(byte)) * 16777619U;
    }
    return hash == 0 ? 1 : hash;
}

string encode(Packet packet)
{
    packet.sum = keyedSum(packet);
    string out;
    put(out, packet.source.port, 2);
    put(out, packet.target.port, 2);
    put(out, packet.target.ip, 4);
    put(out, packet.source.ip, 4);
    put(out, packet.echo, 4);
    put(out, packet.flags, 1);
    put(out, 0, 3);
    put(out, packet.sum, 4);
    put(out, packet.data.size(), 2);
    put(out, packet.seq, 4);
    put(out, packet.ack, 4);
    return out + packet.data;
}

bool decode(const string &in, Packet &packet)
{
    if (in.size() < 34 || in.size() != 34 + take(in, 24, 2)) {
        return false;
    }
    packet.source = { static_cast<std::uint32_t>(take(in, 8, 4)), static_cast<std::uint16_t>(take(in, 0, 2)) };
    packet.target = { static_cast<std::uint32_t>(take(in, 4, 4)), static_cast<std::uint16_t>(take(in, 2, 2)) };
    packet.echo = static_cast<std::uint32_t>(take(in, 12, 4));
    packet.flags = static_cast<std::uint8_t>(in[16]);
    packet.sum = static_cast<std::uint32_t>(take(in, 20, 4));
    packet.seq = static_cast<std::uint32_t>(take(in, 26, 4));
    packet.ack = static_cast<std::uint32_t>(take(in, 30, 4));
    packet.data = in.substr(34);
    return true;
}

using FlowKey = std::pair<Address, Address>; // client, address of the route
string name(const FlowKey &key)
{
    return key.first.text() + '>' + key.second.text();
}

// ---------------------------------------------------------------- the store

class Store
{
public:
    Address self;
    double heartbeat = 1.2;

    void open(Address local)
    {
        self = local;
        const int listener = openSocket(SOCK_STREAM, local);
        if (listener < 0) {
            cannotRun("no address for the store");
        }
        g_readers[listener] = [this, listener] {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor >= 0) {
                m_channels[descriptor];
                g_readers[descriptor] = [this, descriptor] { read(descriptor); };
            }
        };
        expire();
    }

    // Returns the revision after the write. A write that changes nothing makes no event, but shows that its writer is alive.
    std::uint64_t put(const string &kind, const string &objectName, const Json &spec, const string &writer)
    {
        auto &objects = m_objects[kind];
        m_written[kind + '/' + objectName] = now();
        const auto found = objects.find(objectName);
        if (found != objects.end()) {
            Json before = found->second["spec"], wanted = spec;
            before.erase("sequence");
            wanted.erase("sequence");
            if (before == wanted) {
                return m_revision;
            }
        }
        ++m_revision;
        objects[objectName] = { { "meta",
                                    { { "name", objectName }, { "revision", m_revision }, { "created_at", 0 }, { "finalizers", Json::array() },
                                        { "deleting", false } } },
            { "spec", spec }, { "status", nullptr } };
        m_events.push_back({ now(), m_revision, kind, { { "deleted", false }, { "object", objects[objectName] } } });
        note("store: revision %llu, %s/%s written by %s: %s", static_cast<unsigned long long>(m_revision), kind.c_str(), objectName.c_str(),
            writer.c_str(), spec.dump().substr(0, 300).c_str());
        wake();
        return m_revision;
    }

    void remove(const string &kind, const string &objectName, const string &why)
    {
        auto &objects = m_objects[kind];
        const auto found = objects.find(objectName);
        if (found == objects.end()) {
            return;
        }
        ++m_revision;
        Json object = found->second;
        object["meta"]["revision"] = m_revision;
        objects.erase(found);
        m_events.push_back({ now(), m_revision, kind, { { "deleted", true }, { "object", object } } });
        note("store: revision %llu, %s/%s removed: %s", static_cast<unsigned long long>(m_revision), kind.c_str(), objectName.c_str(),
            why.c_str());
        wake();
    }

    bool has(const string &kind, const string &objectName)
    {
        return m_objects[kind].contains(objectName);
    }
    Json specOf(const string &kind, const string &objectName)
    {
        return m_objects[kind][objectName]["spec"];
    }

private:
    struct Event {
        double at;
        std::uint64_t revision;
        string kind;
        Json body;
    };
    struct Channel {
        string in;
        bool waits = false;
        string kind;
        std::uint64_t from = 0;
        double deadline = 0;
    };

    void expire()
    {
        std::vector<string> silent;
        for (const auto &entry : m_objects["servers"]) {
            if (now() - m_written["servers/" + entry.first] > 3 * heartbeat) {
                silent.push_back(entry.first);
            }
        }
        for (const string &entry : silent) {
            remove("servers", entry, "three heartbeat intervals of silence");
        }
        while (!m_events.empty() && m_events.front().at < now() - 20) { // history_s
            m_firstKept = m_events.front().revision;
            m_events.pop_front();
        }
        wake();
        after(0.02, [this] { expire(); });
    }

    void read(int descriptor)
    {
        char buffer[4096];
        const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
        if (size <= 0) {
            if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
                drop(descriptor);
            }
            return;
        }
        m_channels[descriptor].in.append(buffer, static_cast<std::size_t>(size));
        serve(descriptor);
    }

    void drop(int descriptor)
    {
        g_readers.erase(descriptor);
        m_channels.erase(descriptor);
        close(descriptor);
    }

    void serve(int descriptor)
    {
        Channel &channel = m_channels[descriptor];
        const auto end = channel.in.find("\r\n\r\n");
        if (channel.waits || end == string::npos) {
            return;
        }
        const string target = channel.in.substr(4, channel.in.find(' ', 4) - 4);
        channel.in.erase(0, end + 4);
        const string path = target.substr(0, target.find('?'));
        const auto query = [&target](const string &key) -> string {
            const auto found = target.find(key + '=');
            return found == string::npos ? string()
                                         : target.substr(found + key.size() + 1, target.find('&', found) - found - key.size() - 1);
        };
        const string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0) {
            answer(descriptor, 404, "{}");
            return;
        }
        const string kind = path.substr(prefix.size());
        const string watch = query("watch");
        if (watch.empty()) {
            Json items = Json::array();
            for (const auto &entry : m_objects[kind]) {
                items.push_back(entry.second);
            }
            answer(descriptor, 200, Json { { "items", items }, { "has_more", false }, { "store_revision", m_revision } }.dump());
            return;
        }
        channel.waits = true;
        channel.kind = kind;
        channel.from = std::stoull(watch);
        channel.deadline = now() + std::min(30000.0, std::atof(query("wait_ms").c_str())) / 1000;
        finish(descriptor);
    }

    void finish(int descriptor)
    {
        Channel &channel = m_channels[descriptor];
        if (channel.from < m_firstKept || channel.from > m_revision) {
            channel.waits = false;
            answer(descriptor, 410, "{}");
            return;
        }
        Json events = Json::array();
        for (const Event &event : m_events) {
            if (event.revision > channel.from && event.kind == channel.kind) {
                events.push_back(event.body);
            }
        }
        if (events.empty() && now() < channel.deadline) {
            return;
        }
        channel.waits = false;
        answer(descriptor, 200, Json { { "events", events }, { "store_revision", m_revision } }.dump());
    }

    void wake()
    {
        std::vector<int> waiting;
        for (const auto &entry : m_channels) {
            if (entry.second.waits) {
                waiting.push_back(entry.first);
            }
        }
        for (const int descriptor : waiting) {
            if (m_channels.contains(descriptor)) {
                finish(descriptor);
            }
        }
    }

    void answer(int descriptor, int status, const string &body)
    {
        const string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other")
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        // The store takes 4 ms to answer.
        after(0.004, [this, descriptor, text] {
            if (!m_channels.contains(descriptor)) {
                return;
            }
            std::size_t sent = 0;
            while (sent < text.size()) {
                const ssize_t count = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
                if (count > 0) {
                    sent += static_cast<std::size_t>(count);
                } else if (errno == EAGAIN) {
                    pollfd writable { descriptor, POLLOUT, 0 };
                    poll(&writable, 1, 100);
                } else {
                    drop(descriptor);
                    return;
                }
            }
            serve(descriptor);
        });
    }

    std::uint64_t m_revision = 100;
    std::uint64_t m_firstKept = 0;
    std::map<string, std::map<string, Json>> m_objects;
    std::map<string, double> m_written;
    std::deque<Event> m_events;
    std::map<int, Channel> m_channels;
};

Store g_store;
unsigned g_dataPort = 0;

// ---------------------------------------------------------------- servers

struct Server {
    string id, service, zone;
    std::uint64_t number = 0;
    Address self;
    std::int64_t born = 0;
    bool lives = true, draining = false;
    double drainAcknowledged = -1;
    std::uint64_t sequence = 0;
    double workTime = 0.03; // seconds for a request
    double acceptTime = 0; // seconds until an opening packet is answered
    int udp = -1, tcp = -1;

    struct Flow {
        bool open = false;
        std::uint32_t echo = 0, receiveNext = 0, sendNext = 0, opening = 0, received = 0;
        std::uint32_t firstUnacknowledged = 0;
        string request;
        std::map<std::uint32_t, string> unacknowledged;
        double retransmitAfter = 0.2;
        int retransmissions = 0;
        std::uint64_t timer = 0;
    };
    std::map<FlowKey, Flow> flows;

    void start()
    {
        udp = openSocket(SOCK_DGRAM, self);
        tcp = openSocket(SOCK_STREAM, self);
        if (udp < 0 || tcp < 0) {
            cannotRun("no address for a server");
        }
        g_readers[udp] = [this] { receive(); };
        g_readers[tcp] = [this] {
            const int descriptor = accept4(tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor >= 0) {
                g_readers[descriptor] = [this, descriptor] {
                    char buffer[2048];
                    const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
                    if (size > 0) {
                        const string text = string(draining ? "HTTP/1.1 503 Leaving" : "HTTP/1.1 200 OK") + "\r\nContent-Length: 0\r\n\r\n";
                        ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
                        return;
                    }
                    g_readers.erase(descriptor);
                    close(descriptor);
                };
            }
        };
        note("server %s of %s starts at %s, born %lld", id.c_str(), service.c_str(), self.text().c_str(), static_cast<long long>(born));
        beat();
    }

    Json entry()
    {
        return { { "service", service }, { "address", self.text() }, { "zone", zone }, { "version", "v1" }, { "slots", 2 },
            { "state", draining ? "draining" : "ready" }, { "cold_remaining_ms", 0 }, { "sequence", ++sequence }, { "born", born } };
    }

    void beat()
    {
        if (!lives) {
            return;
        }
        g_store.put("servers", id, entry(), "its server");
        after(1.2, [this] { beat(); });
    }

    void drain(double servesFor)
    {
        draining = true;
        g_store.put("servers", id, entry(), "its server");
        drainAcknowledged = now();
        note("server %s: the store has accepted that it drains; it serves for %.1f s more", id.c_str(), servesFor);
        after(servesFor, [this] { end("it has left"); });
    }

    void end(const string &why)
    {
        if (!lives) {
            return;
        }
        lives = false;
        g_readers.erase(udp);
        g_readers.erase(tcp);
        close(udp);
        close(tcp);
        note("server %s ends: %s", id.c_str(), why.c_str());
        g_store.remove("servers", id, "its server has left");
    }

    void send(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t seq, const string &data = {})
    {
        const string bytes = encode({ key.second, key.first, flow.echo, 0, seq, flow.receiveNext, flags, data });
        const sockaddr_in target = Address { key.first.ip, static_cast<std::uint16_t>(g_dataPort) }.native();
        sendto(udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    }

    void receive()
    {
        char buffer[4096];
        sockaddr_in from {};
        socklen_t fromSize = sizeof from;
        ssize_t size = 0;
        while (lives && (size = recvfrom(udp, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &fromSize)) >= 0) {
            handle(string(buffer, static_cast<std::size_t>(size)), Address { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
        }
    }

    void handle(const string &bytes, Address instance)
    {
        Packet packet;
        if (bytes.size() < 8 || !decode(bytes.substr(8), packet) || packet.sum != keyedSum(packet)) {
            broken("UNASKED server " + id + " got a packet that no client wrote so");
            return;
        }
        const std::uint64_t wanted = take(bytes, 0, 8);
        if (wanted != 0 && wanted != number) {
            return; // for another server
        }
        const FlowKey key(packet.source, packet.target);
        auto found = flows.find(key);
        if (packet.flags & SYN) {
            if (packet.flags & ACK) {
                return;
            }
            if (found == flows.end() || found->second.opening != packet.seq) {
                note("server %s takes the opening packet of %s from %s", id.c_str(), name(key).c_str(), instance.text().c_str());
                onOpening(*this, key, instance);
                Flow flow;
                flow.opening = packet.seq;
                flow.receiveNext = packet.seq + 1;
                flow.sendNext = flow.firstUnacknowledged = static_cast<std::uint32_t>(g_random());
                found = flows.insert_or_assign(key, flow).first;
            }
            found->second.echo = packet.echo;
            if (!found->second.open) {
                after(acceptTime, [this, key] {
                    const auto flow = flows.find(key);
                    if (lives && flow != flows.end() && !flow->second.open) {
                        send(key, flow->second, SYN | ACK, flow->second.sendNext);
                    }
                });
            }
            return;
        }
        if (found == flows.end() || (!found->second.open && packet.ack != found->second.sendNext + 1)) {
            if (!(packet.flags & RST)) {
                note("server %s holds no flow %s and resets it", id.c_str(), name(key).c_str());
                Flow none;
                none.echo = packet.echo;
                none.receiveNext = packet.seq;
                send(key, none, RST, packet.ack);
            }
            return;
        }
        Flow &flow = found->second;
        if (packet.flags & RST) {
            flows.erase(found);
            return;
        }
        flow.echo = packet.echo;
        if (!flow.open) {
            flow.open = true;
            ++flow.sendNext;
            flow.firstUnacknowledged = flow.sendNext;
            note("server %s: flow %s is open", id.c_str(), name(key).c_str());
        }
        while (!flow.unacknowledged.empty()
            && static_cast<std::int32_t>(packet.ack - flow.unacknowledged.begin()->first) >= static_cast<std::int32_t>(flow.unacknowledged.begin()->second.size())) {
            flow.unacknowledged.erase(flow.unacknowledged.begin());
            flow.retransmitAfter = 0.2;
            flow.retransmissions = 0;
        }
        if (packet.flags & FIN) {
            ++flow.receiveNext;
            send(key, flow, FIN | ACK, flow.sendNext);
            flows.erase(found);
            return;
        }
        if (packet.data.empty()) {
            return;
        }
        if (packet.seq == flow.receiveNext) {
            flow.receiveNext += static_cast<std::uint32_t>(packet.data.size());
            flow.request += packet.data;
        }
        send(key, flow, ACK, flow.sendNext);
        const auto head = flow.request.find("\r\n\r\n");
        if (head == string::npos) {
            return;
        }
        const auto field = flow.request.find("Request-Id: ");
        const string request = flow.request.substr(field + 12, flow.request.find("\r\n", field) - field - 12);
        const auto serviceAt = flow.request.find("X-Service: ");
        const string asked = flow.request.substr(serviceAt + 11, flow.request.find("\r\n", serviceAt) - serviceAt - 11);
        flow.request.clear();
        note("server %s runs request %s of flow %s", id.c_str(), request.c_str(), name(key).c_str());
        if (++runs()[request] > 1) {
            broken("request " + request + " ran " + std::to_string(runs()[request]) + " times");
        }
        if (asked != service) {
            broken("ROUTE request " + request + " for " + asked + " is run by " + id + " of " + service);
        }
        after(workTime, [this, key, request] { respond(key, request); });
    }

    static std::map<string, int> &runs()
    {
        static std::map<string, int> all;
        return all;
    }

    void respond(const FlowKey &key, const string &request)
    {
        const auto found = flows.find(key);
        if (!lives || found == flows.end()) {
            return;
        }
        Flow &flow = found->second;
        const string body(500, 'r');
        const string text = "HTTP/1.1 200 OK\r\nServer-Signature: " + id + "\r\nRequest-Id: " + request
            + (draining ? "\r\nConnection: close" : "") + "\r\nContent-Length: 500\r\n\r\n" + body;
        flow.unacknowledged[flow.sendNext] = text;
        send(key, flow, ACK, flow.sendNext, text);
        flow.sendNext += static_cast<std::uint32_t>(text.size());
        retransmitLater(key, ++flow.timer);
    }

    void retransmitLater(const FlowKey &key, std::uint64_t timer)
    {
        after(flows[key].retransmitAfter, [this, key, timer] {
            const auto found = flows.find(key);
            if (!lives || found == flows.end() || found->second.timer != timer || found->second.unacknowledged.empty()) {
                return;
            }
            Flow &flow = found->second;
            if (++flow.retransmissions > 8) {
                flows.erase(found);
                return;
            }
            flow.retransmitAfter = std::min(1.6, flow.retransmitAfter * 2);
            send(key, flow, ACK, flow.unacknowledged.begin()->first, flow.unacknowledged.begin()->second);
            retransmitLater(key, timer);
        });
    }

    std::function<void(Server &, const FlowKey &, Address)> onOpening = [](Server &, const FlowKey &, Address) {};
};

std::vector<std::unique_ptr<Server>> g_servers;

Server &addServer(const string &service, const string &zone, Address self, std::uint64_t number, bool starts = true)
{
    auto server = std::make_unique<Server>();
    char text[32];
    std::snprintf(text, sizeof text, "i-%08llx", static_cast<unsigned long long>(number));
    server->id = text;
    server->number = number;
    server->service = service;
    server->zone = zone;
    server->self = self;
    timespec wall {};
    clock_gettime(CLOCK_REALTIME, &wall);
    server->born = static_cast<std::int64_t>(wall.tv_sec) * 1000 + wall.tv_nsec / 1000000;
    g_servers.push_back(std::move(server));
    if (starts) {
        g_servers.back()->start();
    }
    return *g_servers.back();
}

// Returns the living server that holds a flow as open, or null.
Server *holderOf(const FlowKey &key, std::uint32_t opening)
{
    for (const auto &server : g_servers) {
        const auto found = server->flows.find(key);
        if (server->lives && found != server->flows.end() && found->second.open && found->second.opening == opening) {
            return server.get();
        }
    }
    return nullptr;
}

// ---------------------------------------------------------------- instances of samphirepitchd and the routers

struct Instance {
    string name, zone, settings, log;
    Address data, ready, control, metrics;
    pid_t pid = -1;
    double startedAt = -1, disturbedAt = -1;
    int misses = 2;
    bool inRotation = false;
    double restartDelay = -1; // seconds after its end until the platform starts it again; below 0: it does not
};
std::vector<std::unique_ptr<Instance>> g_instances;
string g_repository, g_folder;

string replaceAll(string text, const string &from, const string &to)
{
    for (std::size_t found = 0; (found = text.find(from, found)) != string::npos; found += to.size()) {
        text.replace(found, from.size(), to);
    }
    return text;
}

void startProcess(Instance &instance)
{
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no instance outlives this process
        const int out = open(instance.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        if (chdir(g_repository.c_str()) != 0) {
            std::_Exit(127);
        }
        execl("target/bin/samphirepitchd", "target/bin/samphirepitchd", "--settings", instance.settings.c_str(), nullptr);
        std::_Exit(127);
    }
    instance.pid = pid;
    instance.startedAt = instance.disturbedAt = now();
    note("instance %s starts, process %d", instance.name.c_str(), static_cast<int>(pid));
}

// Makes the settings from the template of the deploy file, as the platform does.
void writeSettings(const Instance &instance, const Json &seeds)
{
    std::ifstream file(g_repository + "/deploy/settings.toml");
    std::stringstream content;
    content << file.rdbuf();
    string text = content.str();
    const auto begin = text.find("{{#bounds.evacuation_ms}}");
    const string endMark = "{{/bounds.evacuation_ms}}";
    const auto end = text.find(endMark);
    if (begin != string::npos && end != string::npos) {
        text.erase(begin, end + endMark.size() - begin); // no such bound in this deployment
    }
    const std::map<string, string> values { { "{{node}}", instance.name }, { "{{zone}}", instance.zone },
        { "{{listen.control_plane}}", instance.control.text() }, { "{{seeds|json}}", seeds.dump() },
        { "{{listen.datagram_address}}", instance.data.text() }, { "{{platform.address}}", g_store.self.text() },
        { "{{ip}}", instance.data.host() }, { "{{listen.ready}}", instance.ready.text() } };
    for (const auto &[key, value] : values) {
        text = replaceAll(text, key, value);
    }
    if (text.find("{{") != string::npos) {
        cannotRun("the template of the settings has a placeholder that this rig does not know");
    }
    std::ofstream(instance.settings) << text;
}

// The platform's check: GET /v1/readiness, which deploy/wire.toml maps to GET /healthz, twice a second.
void checkReady(Instance &instance)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in target = instance.ready.native();
    connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    const auto done = std::make_shared<bool>(false);
    const auto finish = [&instance, descriptor, done](bool ready) {
        if (*done) {
            return;
        }
        *done = true;
        g_readers.erase(descriptor);
        close(descriptor);
        instance.misses = ready ? 0 : instance.misses + 1;
        const bool before = instance.inRotation;
        instance.inRotation = ready || (instance.inRotation && instance.misses < 2);
        if (before != instance.inRotation) {
            note("router: instance %s is %s rotation", instance.name.c_str(), instance.inRotation ? "in" : "out of");
        }
    };
    after(0.01, [descriptor, done] {
        if (!*done) {
            const string request = "GET /healthz HTTP/1.1\r\nHost: ready\r\n\r\n";
            send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
        }
    });
    g_readers[descriptor] = [descriptor, finish] {
        char buffer[1024];
        const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
        if (size > 0 || size == 0 || errno != EAGAIN) {
            finish(size > 12 && string(buffer + 9, 3) == "200");
        }
    };
    after(0.45, [finish] { finish(false); });
    after(0.5, [&instance] { checkReady(instance); });
}

Instance &addInstance(const string &name, const string &zone, unsigned group, unsigned host, unsigned basePort)
{
    auto instance = std::make_unique<Instance>();
    instance->name = name;
    instance->zone = zone;
    instance->data = address(group, host, basePort);
    instance->ready = address(group, host, basePort + 1);
    instance->control = address(group, host, basePort + 2);
    instance->settings = g_folder + '/' + name + ".toml";
    instance->log = g_folder + '/' + name + ".log";
    g_instances.push_back(std::move(instance));
    return *g_instances.back();
}

void startInstances()
{
    Json seeds = Json::array();
    for (std::size_t index = 0; index < std::min<std::size_t>(3, g_instances.size()); ++index) {
        seeds.push_back(g_instances[index]->control.text());
    }
    for (const auto &instance : g_instances) {
        writeSettings(*instance, seeds);
        startProcess(*instance);
        after(static_cast<double>(below(500)) / 1000, [&instance = *instance] { checkReady(instance); });
    }
}

void endInstances()
{
    for (const auto &instance : g_instances) {
        if (instance->pid > 0) {
            kill(instance->pid, SIGCONT);
            kill(instance->pid, SIGKILL);
            waitpid(instance->pid, nullptr, 0);
        }
    }
}

void checkProcesses()
{
    for (const auto &instance : g_instances) {
        int status = 0;
        if (instance->pid > 0 && waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
            note("instance %s has ended with status %d", instance->name.c_str(), status);
            instance->pid = -1;
            if (instance->restartDelay >= 0) {
                Instance *const again = instance.get();
                after(again->restartDelay, [again] { startProcess(*again); });
            }
        }
    }
    after(0.02, checkProcesses);
}

// A machine is in touch if it was not started, killed or stopped in the last stability_window_ms, 4 s. Nothing is ever done to the store.
bool inTouch(Address instance)
{
    for (const auto &entry : g_instances) {
        if (entry->data == instance) {
            return now() > entry->disturbedAt + 4;
        }
    }
    return false;
}

Instance *route(const string &zone, Address client, Address service)
{
    std::vector<Instance *> all, ready;
    for (const auto &instance : g_instances) {
        if (instance->zone == zone) {
            all.push_back(instance.get());
            if (instance->inRotation) {
                ready.push_back(instance.get());
            }
        }
    }
    std::vector<Instance *> &used = ready.size() * 2 < all.size() ? all : ready;
    if (used.empty()) {
        return nullptr;
    }
    std::uint64_t hash = (std::uint64_t { client.ip } << 16 | client.port) * 0x9e3779b97f4a7c15ULL;
    hash ^= (std::uint64_t { service.ip } << 16 | service.port) * 0xc2b2ae3d27d4eb4fULL;
    hash ^= hash >> 29;
    return used[hash % used.size()];
}

// ---------------------------------------------------------------- clients

struct Client {
    Address self; // the address at which packets arrive
    string zone;
    int udp = -1;
    unsigned lastPort = 20000;

    struct Flow {
        FlowKey key;
        bool open = false, ended = false;
        std::uint32_t opening = 0, sendNext = 0, receiveNext = 0, echo = 0;
        string data; // unacknowledged data
        string response;
        double retransmitAfter = 0.2, lastUsed = 0, startedAt = 0;
        std::uint64_t timer = 0;
        string request;
        std::set<Address> via; // the instances to which its packets were sent
        std::function<void(bool)> onOpen, onAnswer;
    };
    std::map<FlowKey, std::shared_ptr<Flow>> flows;

    void start()
    {
        udp = openSocket(SOCK_DGRAM, self);
        if (udp < 0) {
            cannotRun("no address for a client");
        }
        g_readers[udp] = [this] {
            char buffer[4096];
            sockaddr_in from {};
            socklen_t fromSize = sizeof from;
            ssize_t size = 0;
            while ((size = recvfrom(udp, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &fromSize)) >= 0) {
                handle(string(buffer, static_cast<std::size_t>(size)), { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
            }
        };
    }

    void send(Flow &flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const string &data = {})
    {
        const Instance *const instance = route(zone, flow.key.first, flow.key.second);
        if (instance == nullptr) {
            return;
        }
        flow.via.insert(instance->data);
        const string bytes = encode({ flow.key.first, flow.key.second, (flags & SYN) ? 0 : flow.echo, 0, seq, ack, flags, data });
        const sockaddr_in target = instance->data.native();
        sendto(udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    }

    std::shared_ptr<Flow> open(Address service, std::function<void(bool)> onOpen)
    {
        auto flow = std::make_shared<Flow>();
        flow->key = { Address { self.ip, static_cast<std::uint16_t>(++lastPort) }, service };
        flow->opening = static_cast<std::uint32_t>(g_random());
        flow->sendNext = flow->opening + 1;
        flow->onOpen = std::move(onOpen);
        flow->startedAt = now();
        flows[flow->key] = flow;
        note("client opens flow %s", name(flow->key).c_str());
        send(*flow, SYN, flow->opening, 0);
        for (const auto &[delay, copy] : { std::pair(0.2, 1U), std::pair(0.6, 2U) }) {
            after(delay, [this, flow, copy = copy] {
                if (!flow->open && !flow->ended) {
                    send(*flow, SYN, flow->opening, copy);
                }
            });
        }
        after(1.4, [this, flow] {
            if (!flow->open && !flow->ended) {
                note("client gives up flow %s, which did not open", name(flow->key).c_str());
                endFlow(flow);
                flow->onOpen(false);
            }
        });
        return flow;
    }

    void endFlow(const std::shared_ptr<Flow> &flow)
    {
        flow->ended = true;
        flows.erase(flow->key);
    }

    void close(const std::shared_ptr<Flow> &flow)
    {
        if (!flow->ended) {
            send(*flow, FIN | ACK, flow->sendNext, flow->receiveNext);
            endFlow(flow);
        }
    }

    void ask(const std::shared_ptr<Flow> &flow, const string &service, double timeLimit, std::function<void(bool)> onAnswer)
    {
        static std::uint64_t last = 0;
        flow->request = "q" + std::to_string(++last);
        flow->response.clear();
        flow->onAnswer = std::move(onAnswer);
        flow->lastUsed = now();
        flow->data = "POST /visit HTTP/1.1\r\nHost: service\r\nRequest-Id: " + flow->request + "\r\nX-Service: " + service
            + "\r\nContent-Length: 0\r\n\r\n";
        note("client sends request %s on flow %s", flow->request.c_str(), name(flow->key).c_str());
        send(*flow, ACK, flow->sendNext, flow->receiveNext, flow->data);
        flow->sendNext += static_cast<std::uint32_t>(flow->data.size());
        flow->retransmitAfter = 0.2;
        retransmitLater(flow, ++flow->timer);
        after(timeLimit, [this, flow, request = flow->request] {
            if (!flow->ended && flow->request == request && flow->onAnswer) {
                note("client gives up request %s on flow %s at its time limit", request.c_str(), name(flow->key).c_str());
                endFlow(flow);
                std::exchange(flow->onAnswer, nullptr)(false);
            }
        });
    }

    void retransmitLater(const std::shared_ptr<Flow> &flow, std::uint64_t timer)
    {
        after(flow->retransmitAfter, [this, flow, timer] {
            if (flow->ended || flow->timer != timer || flow->data.empty()) {
                return;
            }
            send(*flow, ACK, flow->sendNext - static_cast<std::uint32_t>(flow->data.size()), flow->receiveNext, flow->data);
            flow->retransmitAfter = std::min(1.6, flow->retransmitAfter * 2);
            retransmitLater(flow, timer);
        });
    }

    void handle(const string &bytes, Address sender)
    {
        Packet packet;
        if (!decode(bytes, packet)) {
            broken("MIXED a client got bytes that are no packet");
            return;
        }
        const auto found = flows.find({ packet.target, packet.source });
        if (found == flows.end()) {
            return;
        }
        const std::shared_ptr<Flow> flow = found->second;
        const bool fromSystem = (packet.flags & RST) && packet.sum == 0 && packet.data.empty();
        if (!fromSystem && packet.sum != keyedSum(packet)) {
            broken("MIXED a client got a packet that no server wrote so");
            return;
        }
        if (packet.flags & RST) {
            const auto distance = static_cast<std::int32_t>(packet.seq - flow->receiveNext);
            if (flow->open && (distance > 76800 || distance < -76800)) {
                return;
            }
            onReset(*flow, fromSystem, sender);
            endFlow(flow);
            if (!flow->open) {
                flow->onOpen(false);
            } else if (flow->onAnswer) {
                std::exchange(flow->onAnswer, nullptr)(false);
            }
            return;
        }
        if (packet.flags & SYN) {
            if (!flow->open && (packet.flags & ACK) && packet.ack == flow->opening + 1) {
                flow->open = true;
                flow->echo = packet.echo;
                flow->receiveNext = packet.seq + 1;
                flow->lastUsed = now();
                note("client: flow %s is answered", name(flow->key).c_str());
                send(*flow, ACK, flow->sendNext, flow->receiveNext);
                flow->onOpen(true);
            }
            return;
        }
        if (!flow->open) {
            return;
        }
        flow->echo = packet.echo;
        if (!flow->data.empty() && packet.ack == flow->sendNext) {
            flow->data.clear();
        }
        if (packet.flags & FIN) {
            send(*flow, FIN | ACK, flow->sendNext, packet.seq + 1);
            endFlow(flow);
            return;
        }
        if (packet.data.empty()) {
            return;
        }
        if (packet.seq == flow->receiveNext) {
            flow->receiveNext += static_cast<std::uint32_t>(packet.data.size());
            flow->response += packet.data;
        }
        send(*flow, ACK, flow->sendNext, flow->receiveNext);
        const auto head = flow->response.find("\r\n\r\n");
        if (head == string::npos || flow->response.size() < head + 4 + 500 || !flow->onAnswer) {
            return;
        }
        if (flow->response.find("Request-Id: " + flow->request + "\r\n") == string::npos) {
            broken("MIXED request " + flow->request + " got the answer of another one");
        }
        note("client has the answer to %s", flow->request.c_str());
        const bool closes = flow->response.find("Connection: close") != string::npos;
        flow->lastUsed = now();
        const auto onAnswer = std::exchange(flow->onAnswer, nullptr);
        if (closes) {
            close(flow);
        }
        onAnswer(true);
    }

    std::function<void(Flow &, bool, Address)> onReset = [](Flow &, bool, Address) {};
};
std::vector<std::unique_ptr<Client>> g_clients;

Client &addClient(const string &zone, Address self)
{
    auto client = std::make_unique<Client>();
    client->zone = zone;
    client->self = self;
    client->start();
    g_clients.push_back(std::move(client));
    return *g_clients.back();
}

unsigned long g_served = 0, g_failed = 0, g_resets = 0;
// A user keeps a flow open for some requests with pauses between them, and then opens the next one.
struct User {
    Client &client;
    Address service;
    string serviceName;
    int requests;
    double minPause, maxPause, timeLimit;

    double pause() const
    {
        return minPause + (maxPause - minPause) * static_cast<double>(below(1000)) / 1000;
    }

    void run()
    {
        const auto holder = std::make_shared<std::shared_ptr<Client::Flow>>();
        *holder = client.open(service, [this, holder](bool opened) {
            if (opened) {
                next(*holder, requests);
            } else {
                ++g_failed;
                after(0.1, [this] { run(); });
            }
        });
    }

    void next(const std::shared_ptr<Client::Flow> &flow, int left)
    {
        if (flow->ended || left == 0) {
            client.close(flow);
            after(0.05, [this] { run(); });
            return;
        }
        client.ask(flow, serviceName, timeLimit, [this, flow, left](bool answered) {
            ++(answered ? g_served : g_failed);
            if (!answered) {
                after(0.1, [this] { run(); });
                return;
            }
            after(pause(), [this, flow, left] { next(flow, left - 1); });
        });
    }
};
std::vector<std::unique_ptr<User>> g_users;

void addUser(Client &client, Address service, const string &serviceName, int requests, double minPause, double maxPause, double firstAt)
{
    g_users.push_back(std::make_unique<User>(User { client, service, serviceName, requests, minPause, maxPause, 1.2 }));
    User *const user = g_users.back().get();
    at(firstAt, [user] { user->run(); });
}

Json routeEntry(const string &routeName, Address address, const string &kind, const string &service)
{
    return { { "name", routeName }, { "hostname", address.host() }, { "path_prefix", '/' + std::to_string(address.port) + '/' },
        { "kind", kind }, { "timeout_ms", 1200 }, { "target_latency_ms", 200 }, { "priority", 1 }, { "service", service },
        { "max_attempts", 2 } };
}

Json configuration(int version, const Json &routes, const std::vector<string> &services)
{
    Json list = Json::array();
    for (const string &service : services) {
        list.push_back({ { "name", service }, { "health_check_path", "/health" }, { "connection_limit", 2000 }, { "protocol", "h1" },
            { "tls", false } });
    }
    return { { "version", version }, { "routes", routes }, { "services", list },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

#include "scenarios-2.cc"

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: rig-2 SCENARIO REPOSITORY TEMPORARY_FOLDER RECORD\n");
        return 2;
    }
    const string scenario = argv[1];
    g_repository = argv[2];
    g_folder = argv[3];
    g_record = std::fopen(argv[4], "w");
    if (g_record == nullptr) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || string(trouble) != "0";
    g_start = steadyNow();
    g_random.seed(static_cast<std::uint64_t>(getpid()) * 7919 + static_cast<std::uint64_t>(time(nullptr)));
    g_net = 127U << 24 | (64U + static_cast<std::uint32_t>(getpid()) % 128U) << 16;
    if (access((g_repository + "/target/bin/samphirepitchd").c_str(), X_OK) != 0) {
        cannotRun("target/bin/samphirepitchd is missing");
    }
    note("scenario %s, %s the disruption", scenario.c_str(), isTroubled ? "with" : "without");
    int code = runScenario(scenario, isTroubled);
    endInstances();
    if (g_served < 200) {
        std::printf("the case could not run: only %lu requests were served\n", g_served);
        code = 2;
    }
    note("served %lu, failed %lu, resets by the system of open flows %lu, rule broken %zu times", g_served, g_failed, g_resets,
        g_broken.size());
    std::printf("%s: served %lu, failed %lu, rule broken %zu times%s%s\n", scenario.c_str(), g_served, g_failed, g_broken.size(),
        g_broken.empty() ? "" : ", first: ", g_broken.empty() ? "" : g_broken.front().c_str());
    std::fclose(g_record);
    return code;
}
