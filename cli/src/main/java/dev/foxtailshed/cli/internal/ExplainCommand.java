package dev.foxtailshed.cli.internal;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * Reconstructs the course of one request from the log files of entries.
 *
 * <p>Prints the events of the request in order of time, together with the changes of server, store
 * and route state that its entries logged in the same period. Lines that are not events are
 * skipped, so that logs can be passed as collected.
 */
public final class ExplainCommand implements Command {

    /** State changes up to this long before the first event of the request are included. */
    private static final long CONTEXT_BEFORE_MILLIS = 3_000;

    private static final String STANDARD_INPUT = "-";
    private static final Set<String> CONTEXT_EVENTS =
            Set.of(
                    "SERVER_USABLE",
                    "SERVER_LEFT",
                    "STORE_UNAVAILABLE",
                    "STORE_AVAILABLE",
                    "ROUTES_APPLIED",
                    "PEER_ANSWERED",
                    "DRAINING",
                    "READY",
                    "STAGE_ORDERED");
    private static final Set<String> COLUMN_FIELDS = Set.of("time", "level", "event", "name");

    @Override
    public String words() {
        return "explain";
    }

    @Override
    public String help() {
        return "show the events of one request from log files";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("request").metavar("REQUEST").help("the request id");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("*")
                .help("log files with JSON lines; default: standard input");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String request = invocation.arguments().getString("request");
        List<String> files = invocation.arguments().getList("files");
        List<Event> events = new ArrayList<>();
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try {
                read(file, request, events);
            } catch (IOException | InvalidPathException e) {
                return invocation.fail(Failure.badUse("cannot read the file " + file + ": " + e));
            }
        }
        List<Event> selected = selectEvents(request, events);
        if (selected.isEmpty()) {
            invocation.printMessage("no line of the logs names the request " + request);
            return ExitCode.CHECK_FAILED;
        }
        invocation.print(selected, () -> describe(selected));
        return ExitCode.DONE;
    }

    /** A logged event, printed as JSON. */
    private record Event(
            String time, String source, String name, String request, JsonObject fields) {

        long epochMillis() {
            return Instant.parse(time).toEpochMilli();
        }
    }

    private static void read(String file, String request, List<Event> events) throws IOException {
        try (BufferedReader reader =
                file.equals(STANDARD_INPUT)
                        ? new BufferedReader(
                                new InputStreamReader(System.in, StandardCharsets.UTF_8))
                        : Files.newBufferedReader(Path.of(file))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                addIfRelevant(file, line, request, events);
            }
        }
    }

    private static void addIfRelevant(
            String file, String line, String request, List<Event> events) {
        int start = line.indexOf('{');
        boolean relevant =
                line.contains(request) || CONTEXT_EVENTS.stream().anyMatch(line::contains);
        if (start < 0 || !relevant) {
            return;
        }
        try {
            JsonObject json = JsonParser.parseString(line.substring(start)).getAsJsonObject();
            String prefix = line.substring(0, start).trim();
            Event event =
                    new Event(
                            text(json, "time"),
                            prefix.isEmpty() ? file : prefix,
                            text(json, "name"),
                            text(json, "request"),
                            json);
            if (event.request().equals(request) || CONTEXT_EVENTS.contains(event.name())) {
                event.epochMillis();
                events.add(event);
            }
        } catch (JsonParseException | IllegalStateException | DateTimeParseException e) {
            // Collected logs may contain lines of other programs, which are not events.
            return;
        }
    }

    private static String text(JsonObject json, String field) {
        JsonElement value = json.get(field);
        return value == null || !value.isJsonPrimitive() ? "" : value.getAsString();
    }

    private static List<Event> selectEvents(String request, List<Event> events) {
        List<Event> requestEvents =
                events.stream().filter(e -> e.request().equals(request)).toList();
        if (requestEvents.isEmpty()) {
            return List.of();
        }
        long firstMillis = requestEvents.stream().mapToLong(Event::epochMillis).min().orElseThrow();
        long lastMillis = requestEvents.stream().mapToLong(Event::epochMillis).max().orElseThrow();
        Set<String> sources = new TreeSet<>();
        requestEvents.forEach(event -> sources.add(sourceName(event)));
        return events.stream()
                .filter(
                        event ->
                                event.request().equals(request)
                                        || (sources.contains(sourceName(event))
                                                && event.epochMillis()
                                                        >= firstMillis - CONTEXT_BEFORE_MILLIS
                                                && event.epochMillis() <= lastMillis))
                .sorted(Comparator.comparing(Event::time))
                .toList();
    }

    /** Returns the last word before the JSON, where log collectors put the instance name. */
    private static String sourceName(Event event) {
        return event.source().substring(event.source().lastIndexOf(' ') + 1);
    }

    private static String describe(List<Event> selected) {
        Table table = new Table("TIME", "INSTANCE", "EVENT", "VALUES");
        for (Event event : selected) {
            StringBuilder values = new StringBuilder();
            for (Map.Entry<String, JsonElement> field : event.fields().entrySet()) {
                if (!COLUMN_FIELDS.contains(field.getKey())) {
                    String value =
                            field.getValue().isJsonPrimitive()
                                    ? field.getValue().getAsString()
                                    : field.getValue().toString();
                    values.append(field.getKey()).append('=').append(value).append(' ');
                }
            }
            table.addRow(event.time(), sourceName(event), event.name(), values.toString().trim());
        }
        return table.toString();
    }
}
