#include "records.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace camphorhitch::checker
{

namespace
{

using json = nlohmann::json;

std::string text_in(const json& j, const char* name)
{
    return j.value(name, std::string{});
}

std::int64_t number_in(const json& j, const char* name)
{
    return j.value(name, std::int64_t{0});
}

call read_call(const json& j)
{
    call out;
    out.id = j.at("id").get<std::string>();
    out.entry = j.at("entry").get<std::string>();
    out.keyed = j.at("keyed").get<bool>();
    out.status = j.at("status").get<int>();
    out.outcome = j.at("outcome").get<std::string>();
    out.attempt = text_in(j, "attempt");
    out.reason = text_in(j, "reason");
    out.own = j.at("own").get<bool>();
    out.begin_ms = j.at("begin_ms").get<std::int64_t>();
    out.end_ms = out.begin_ms + static_cast<std::int64_t>(j.at("elapsed_ms").get<double>());
    return out;
}

std::map<std::string, std::vector<run>> read_runs(const json& all)
{
    std::map<std::string, std::vector<run>> out;
    for (const auto& [id, list] : all.items())
    {
        for (const auto& it : list)
        {
            out[id].push_back({it.at("host").get<std::string>(), number_in(it, "at_ms")});
        }
    }
    return out;
}

target_counts read_target(const json& j)
{
    return {j.at("host").get<std::string>(),
        j.at("runs").get<std::int64_t>(),
        j.at("cut_off").get<std::int64_t>(),
        j.at("cut_off_planned").get<std::int64_t>()};
}

task_start read_start(const json& j)
{
    return {j.at("task").get<std::string>(),
        j.at("host").get<std::string>(),
        j.at("started_ms").get<std::int64_t>(),
        number_in(j, "ended_ms"),
        text_in(j, "end")};
}

change read_change(const json& j)
{
    change out;
    out.key = j.at("key").get<std::string>();
    out.revision = j.at("revision").get<std::int64_t>();
    out.at_ms = j.at("at_ms").get<std::int64_t>();
    out.deleted = j.value("deleted", false);
    out.value = out.deleted ? std::string{} : j.at("value").get<std::string>();
    return out;
}

fault read_fault(const json& j)
{
    return {j.at("fault").get<std::string>(),
        text_in(j, "member"),
        text_in(j, "address"),
        j.value("hosts", std::vector<std::string>{}),
        j.at("at_ms").get<std::int64_t>(),
        j.at("until_ms").get<std::int64_t>()};
}

/// Reads the files of one folder and collects the errors found in them.
class folder_reader
{
public:
    explicit folder_reader(std::filesystem::path folder) : folder_(std::move(folder))
    {
    }

    /// Passes the file's JSON to \p consume.
    void document(const std::string& name, const std::function<void(const json&)>& consume)
    {
        std::ifstream file(folder_ / name);
        const std::string text(std::istreambuf_iterator<char>(file), {});
        parse(name, 0, text, consume);
    }

    /// Passes each line's JSON to \p consume.
    void lines(const std::string& name, const std::function<void(const json&)>& consume)
    {
        std::ifstream file(folder_ / name);
        if (!file)
        {
            add(name, 0, "can't be read");
        }
        int n = 0;
        for (std::string line; std::getline(file, line);)
        {
            parse(name, ++n, line, consume);
        }
    }

    void add(const std::string& name, int line, const std::string& text)
    {
        wrong.push_back({{name, "", line, 0}, text, ""});
    }

    core::findings wrong;

private:
    void parse(const std::string& name,
        int line,
        const std::string& text,
        const std::function<void(const json&)>& consume)
    {
        try
        {
            consume(json::parse(text));
        }
        catch (const json::exception& ec)
        {
            add(name, line, ec.what());
        }
    }

    std::filesystem::path folder_;
};

std::string field_of(const std::string& line, const std::string& name)
{
    const auto begin = line.find(name + "=");
    if (begin == std::string::npos)
    {
        return {};
    }
    const auto from = begin + name.size() + 1;
    return line.substr(from, line.find(' ', from) - from);
}

/// \return a time such as "2026-12-02T18:00:00.123Z" in ms since 1970, or 0 if it can't be parsed.
std::int64_t time_of(const std::string& text)
{
    std::tm parts{};
    const char* fraction_text = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (fraction_text == nullptr)
    {
        return 0;
    }
    const auto fraction = *fraction_text == '.' ? std::stod(fraction_text) : 0.0;
    return static_cast<std::int64_t>(timegm(&parts)) * 1000 + std::lround(fraction * 1000);
}

void read_logs(const std::string& folder, records& to)
{
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(folder))
    {
        const auto name = it.path().filename().string();
        if (name.rfind("entry-", 0) == 0 && it.path().extension() == ".log")
        {
            files.push_back(it.path());
        }
    }
    std::sort(files.begin(), files.end());
    for (const auto& it : files)
    {
        std::ifstream file(it);
        for (std::string line; std::getline(file, line);)
        {
            if (auto one = read_adoption(line); one.version > 0)
            {
                to.adoptions.push_back(std::move(one));
            }
        }
    }
}

void extract_end_of_run(records& r)
{
    const auto is_end = [](const fault& it)
    {
        return it.kind == "end_of_run";
    };
    for (const auto& it : r.faults)
    {
        r.end_ms = is_end(it) ? it.at_ms : r.end_ms;
    }
    r.faults.erase(std::remove_if(r.faults.begin(), r.faults.end(), is_end), r.faults.end());
}

/// Reports empty records, with which every promise would pass.
void require_content(const records& r, folder_reader& from)
{
    const auto need = [&](bool there, const char* name, const char* what)
    {
        if (!there)
        {
            from.add(name, 0, std::string("holds no ") + what);
        }
    };
    need(!r.calls.empty(), "calls.jsonl", "call");
    need(!r.runs.empty(), "runs.json", "run");
    need(!r.targets.empty(), "targets.json", "target");
    need(!r.history.empty(), "history.json", "write");
    need(!r.adoptions.empty(), "entry-*.log", "line of a configuration adopted");
    need(r.end_ms > 0, "faults.jsonl", "end_of_run");
}

} // namespace

adoption read_adoption(const std::string& line)
{
    if (line.find(" event=configuration_adopted ") == std::string::npos)
    {
        return {};
    }
    const auto version = field_of(line, "version");
    return {field_of(line, "member"),
        version.empty() ? 0 : std::stoll(version),
        time_of(field_of(line, "ts"))};
}

std::variant<records, core::findings> read_records(const std::string& folder)
{
    records out;
    folder_reader from(folder);
    from.lines("calls.jsonl", [&](const json& j) { out.calls.push_back(read_call(j)); });
    from.document("runs.json", [&](const json& j) { out.runs = read_runs(j.at("runs")); });
    from.document(
        "duplicates.json", [&](const json& j) { out.duplicates = read_runs(j.at("duplicates")); });
    const auto add_all = [](auto& to, const json& list, auto read)
    {
        for (const auto& it : list)
        {
            to.push_back(read(it));
        }
    };
    from.document(
        "targets.json", [&](const json& j) { add_all(out.targets, j.at("targets"), read_target); });
    from.document(
        "workers.json", [&](const json& j) { add_all(out.starts, j.at("starts"), read_start); });
    from.document(
        "history.json", [&](const json& j) { add_all(out.history, j.at("changes"), read_change); });
    from.lines("faults.jsonl", [&](const json& j) { out.faults.push_back(read_fault(j)); });
    from.lines("jobs.jsonl",
        [&](const json& j) {
            out.jobs.push_back({j.at("id").get<std::string>(), j.at("idempotent").get<bool>()});
        });
    if (std::filesystem::is_directory(folder))
    {
        read_logs(folder, out);
    }
    extract_end_of_run(out);
    require_content(out, from);
    if (!from.wrong.empty())
    {
        return from.wrong;
    }
    return out;
}

} // namespace camphorhitch::checker
