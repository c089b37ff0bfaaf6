// The scenarios of the second review; included by rig-2.cc.

const string pondwatch = "pondwatch", mapvault = "mapvault";

struct Deployment {
    Address visits, tiles; // addresses of the routes
    unsigned base = 0; // first port of the instances

    // Two zones with half of the instances each, two servers of pondwatch each and one of mapvault each.
    void start(unsigned instances = 4)
    {
        for (base = 20000 + static_cast<unsigned>(below(20000)); ; base = 20000 + static_cast<unsigned>(below(20000))) {
            const int trial = openSocket(SOCK_DGRAM, address(3, 1, base));
            if (trial >= 0) {
                close(trial);
                break;
            }
        }
        g_dataPort = base;
        visits = address(8, 1, 8080);
        tiles = address(8, 2, 8443);
        g_store.open(address(9, 1, base));
        addServer(pondwatch, "lokoja", address(2, 1, 8080), 0x7f3a91c1);
        addServer(pondwatch, "lokoja", address(2, 2, 8080), 0x7f3a91c2);
        addServer(pondwatch, "okene", address(2, 3, 8080), 0x7f3a91c3);
        addServer(pondwatch, "okene", address(2, 4, 8080), 0x7f3a91c4);
        addServer(mapvault, "lokoja", address(2, 5, 8080), 0x2b61d0a5);
        addServer(mapvault, "okene", address(2, 6, 8080), 0x2b61d0a6);
        g_store.put("config", "main", configuration(7, routes(), { pondwatch, mapvault }), "the operator");
        for (unsigned index = 0; index < instances; ++index) {
            const string zone = index % 2 == 0 ? "lokoja" : "okene";
            addInstance("frontend-" + zone + '-' + std::to_string(index / 2 + 1), zone, 1, index + 1, base);
        }
        startInstances();
        checkProcesses();
        at(6.0, [] {
            for (const auto &instance : g_instances) {
                if (!instance->inRotation) {
                    cannotRun("instance " + instance->name + " is not ready");
                }
            }
        });
    }

    Json routes() const
    {
        return Json::array({ routeEntry("r-visits", visits, "unsafe", pondwatch), routeEntry("r-tiles", tiles, "download", mapvault) });
    }
};

double g_droppedAt = -1; // when the store last accepted a version without the route r-visits
bool g_isDropped = false;

// FLOW: a reset of an open flow by the system, while the server that holds the flow lives and nothing was done to it. It counts only if the
// machines to which the flow's packets were sent, and the sender of the reset, are in touch, and if no version without the flow's route
// was written since the flow began.
void judgeReset(Client::Flow &flow, bool fromSystem, Address sender)
{
    Server *const holder = flow.open ? holderOf(flow.key, flow.opening) : nullptr;
    if (!flow.open || (holder == nullptr && fromSystem)) {
        note("client: flow %s (%s) is reset by %s; no living server holds it", name(flow.key).c_str(), flow.open ? "open" : "not open",
            sender.text().c_str());
        return;
    }
    string excuse;
    if (g_isDropped || flow.startedAt < g_droppedAt) {
        excuse = "a configuration has dropped the route since the flow began";
    }
    flow.via.insert(sender);
    for (const Address instance : flow.via) {
        if (fromSystem && !inTouch(instance)) {
            excuse = "machine " + instance.text() + " is not in touch";
        }
    }
    if (holder == nullptr || !excuse.empty()) {
        note("client: open flow %s is reset by %s; not counted: %s", name(flow.key).c_str(), sender.text().c_str(),
            holder == nullptr ? "its server has ended" : excuse.c_str());
        return;
    }
    ++g_resets;
    char text[300];
    std::snprintf(text, sizeof text, "FLOW open flow %s, begun %.3f s ago, %s, is reset by %s while its server %s lives and holds it",
        name(flow.key).c_str(), now() - flow.startedAt, flow.onAnswer ? "with a request under way" : "without a request under way",
        sender.text().c_str(), holder->id.c_str());
    broken(text);
}

// DRAIN: an opening packet that a server takes later than drain_ms after the store accepted that it drains, through an instance in touch.
void judgeDrain(Server &server, const FlowKey &key, Address instance)
{
    if (server.drainAcknowledged >= 0 && now() > server.drainAcknowledged + 3.0 && inTouch(instance)) {
        broken("DRAIN server " + server.id + " takes the new flow " + name(key) + ' ' + std::to_string(now() - server.drainAcknowledged)
            + " s after the store accepted that it drains");
    }
}

void watchRules()
{
    for (const auto &client : g_clients) {
        client->onReset = judgeReset;
    }
    for (const auto &server : g_servers) {
        server->onOpening = judgeDrain;
    }
}

// Four client hosts. Each has users that keep a flow open for three requests with pauses, and users that open flows often.
void addUsers(const Deployment &deployment, unsigned longFlows, double minPause, double maxPause)
{
    for (unsigned host = 1; host <= 4; ++host) {
        Client &client = addClient(host <= 2 ? "lokoja" : "okene", address(3, host, deployment.base));
        for (unsigned user = 0; user < longFlows; ++user) {
            addUser(client, deployment.visits, pondwatch, 3, minPause, maxPause, 2.0 + 12.0 * user / longFlows + 0.1 * host);
        }
        addUser(client, deployment.visits, pondwatch, 2, 0.2, 0.5, 2.0 + 0.1 * host);
        addUser(client, deployment.tiles, mapvault, 1, 0.1, 0.2, 2.2 + 0.1 * host);
    }
}

// Writes a copy of the entry of a server under another id, without the member born.
void writeCopy(const Server &server)
{
    Json copy = g_store.specOf("servers", server.id);
    copy.erase("born");
    g_store.put("servers", "copy-of-" + server.id, copy, "another writer");
}

// Another writer leaves one entry, a copy of the entry of a server without the member born. The platform removes it after three
// heartbeat intervals, since its writer is silent.
int copyOnce(bool isTroubled)
{
    Deployment deployment;
    deployment.start();
    addUsers(deployment, 12, 3.0, 6.0);
    watchRules();
    if (isTroubled) {
        at(7.0, [] { writeCopy(*g_servers[0]); });
    }
    runLoop(28.0);
    return g_broken.empty() ? 0 : 1;
}

// The other writer repeats its entry at each heartbeat interval, and the server drains meanwhile.
int copyKept(bool isTroubled)
{
    Deployment deployment;
    deployment.start();
    addUsers(deployment, 4, 0.8, 1.6);
    watchRules();
    if (isTroubled) {
        const Json copy = [] {
            Json entry = g_store.specOf("servers", g_servers[0]->id);
            entry.erase("born");
            return entry;
        }();
        for (double time = 7.0; time < 24; time += 1.2) {
            at(time, [copy] { g_store.put("servers", "copy-of-" + g_servers[0]->id, copy, "another writer"); });
        }
    }
    at(10.0, [] { g_servers[0]->drain(9.0); });
    runLoop(21.0);
    return g_broken.empty() ? 0 : 1;
}

// Again and again, half of the machines lose power for 2 s, and meanwhile the operator puts a route back that was taken out before.
// TROUBLE=route and TROUBLE=power have one of the two disruptions only.
int routeBack(bool isTroubled)
{
    const char *const trouble = std::getenv("TROUBLE");
    const string part = trouble == nullptr ? "" : trouble;
    const bool takesRoute = isTroubled && part != "power";
    const bool losesPower = isTroubled && part != "route";
    Deployment deployment;
    deployment.start(20);
    for (unsigned host = 1; host <= 4; ++host) {
        Client &client = addClient(host <= 2 ? "lokoja" : "okene", address(3, host, deployment.base));
        for (unsigned user = 0; user < 10; ++user) {
            addUser(client, deployment.visits, pondwatch, 20, 0.02, 0.08, 2.0 + 0.1 * user + 0.02 * host);
        }
    }
    for (const auto &server : g_servers) {
        server->workTime = 0.005;
    }
    watchRules();
    int version = 7;
    const auto write = [&deployment, &version](double time, bool drops) {
        version += 3;
        at(time, [deployment, version = version, drops] {
            Json routes = deployment.routes();
            if (drops) {
                routes.erase(0);
            }
            g_store.put("config", "main", configuration(version, routes, { pondwatch, mapvault }), "the operator");
            g_isDropped = drops;
            g_droppedAt = drops ? now() : g_droppedAt;
        });
    };
    for (double begin = 8; begin < 100; begin += 10) {
        write(begin - 1, takesRoute);
        at(begin, [losesPower] {
            if (!losesPower) {
                return;
            }
            std::vector<Instance *> all;
            for (const auto &instance : g_instances) {
                all.push_back(instance.get());
            }
            std::shuffle(all.begin(), all.end(), g_random);
            all.resize(all.size() / 2);
            for (Instance *const instance : all) {
                instance->restartDelay = 2.0;
                instance->disturbedAt = now();
                note("instance %s loses power", instance->name.c_str());
                if (instance->pid > 0) {
                    kill(instance->pid, SIGKILL);
                }
            }
        });
        write(begin + 0.4 + static_cast<double>(below(400)) / 1000, false);
    }
    runLoop(104.0);
    return g_broken.empty() ? 0 : 1;
}

// Another writer leaves one entry without the member born. It names a server of pondwatch at an address that belongs to a server of
// mapvault by now, and its id ends in the digit 0, which addresses any server.
int oldEntry(bool isTroubled)
{
    Deployment deployment;
    deployment.start();
    addUsers(deployment, 4, 0.8, 1.6);
    watchRules();
    if (isTroubled) {
        at(7.0, [] {
            Json entry = g_store.specOf("servers", g_servers[0]->id);
            entry.erase("born");
            entry["address"] = g_servers[4]->self.text();
            g_store.put("servers", "pondwatch-0", entry, "another writer");
        });
    }
    runLoop(16.0);
    return g_broken.empty() ? 0 : 1;
}

int runScenario(const string &scenario, bool isTroubled)
{
    if (scenario == "copy-once") {
        return copyOnce(isTroubled);
    }
    if (scenario == "route-back") {
        return routeBack(isTroubled);
    }
    if (scenario == "old-entry") {
        return oldEntry(isTroubled);
    }
    if (scenario == "copy-kept") {
        return copyKept(isTroubled);
    }
    cannotRun("unknown scenario " + scenario);
}
