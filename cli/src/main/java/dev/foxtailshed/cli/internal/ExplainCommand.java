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
 * Tells the story of one request from the log lines of entries.
 *
 * <p>Prints the request's own events in their order, and between them what its entries came to
 * believe in that time of the servers, the store and the routes. Lines that are no events are
 * skipped, so logs can be given as they were collected.
 */
public final class ExplainCommand implements Command {

    /** How long before a request a change of belief can still explain its end. */
    private static final long LEAD_MILLIS = 3_000;

    private static final String STANDARD_INPUT = "-";
    private static final Set<String> BELIEFS =
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
    private static final Set<String> SHOWN_APART = Set.of("time", "level", "event", "name");

    @Override
    public String words() {
        return "explain";
    }

    @Override
    public String help() {
        return "tell the story of one request from log files";
    }

    @Override
    public void declare(ArgumentParser parser) {
        parser.addArgument("request").metavar("REQUEST").help("the request's id");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("*")
                .help("log files with JSON lines; standard input without any");
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
        List<Event> story = story(request, events);
        if (story.isEmpty()) {
            invocation.message("no line of the logs names the request " + request);
            return ExitCode.CHECK_FAILED;
        }
        invocation.print(story, () -> describe(story));
        return ExitCode.DONE;
    }

    /** One event of a log. */
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
                take(file, line, request, events);
            }
        }
    }

    private static void take(String file, String line, String request, List<Event> events) {
        int start = line.indexOf('{');
        boolean relevant = line.contains(request) || BELIEFS.stream().anyMatch(line::contains);
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
            if (event.request().equals(request) || BELIEFS.contains(event.name())) {
                event.epochMillis();
                events.add(event);
            }
        } catch (JsonParseException | IllegalStateException | DateTimeParseException e) {
            // Collected logs hold lines of other programs, which tell nothing of the request.
            return;
        }
    }

    private static String text(JsonObject json, String field) {
        JsonElement value = json.get(field);
        return value == null || !value.isJsonPrimitive() ? "" : value.getAsString();
    }

    private static List<Event> story(String request, List<Event> events) {
        List<Event> own = events.stream().filter(e -> e.request().equals(request)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long first = own.stream().mapToLong(Event::epochMillis).min().orElseThrow();
        long last = own.stream().mapToLong(Event::epochMillis).max().orElseThrow();
        Set<String> sources = new TreeSet<>();
        own.forEach(event -> sources.add(sourceName(event)));
        return events.stream()
                .filter(
                        event ->
                                event.request().equals(request)
                                        || (sources.contains(sourceName(event))
                                                && event.epochMillis() >= first - LEAD_MILLIS
                                                && event.epochMillis() <= last))
                .sorted(Comparator.comparing(Event::time))
                .toList();
    }

    /** The last word before the line's JSON, which collectors use for the instance. */
    private static String sourceName(Event event) {
        return event.source().substring(event.source().lastIndexOf(' ') + 1);
    }

    private static String describe(List<Event> story) {
        Table table = new Table("TIME", "INSTANCE", "EVENT", "VALUES");
        for (Event event : story) {
            StringBuilder values = new StringBuilder();
            for (Map.Entry<String, JsonElement> field : event.fields().entrySet()) {
                if (!SHOWN_APART.contains(field.getKey())) {
                    String value =
                            field.getValue().isJsonPrimitive()
                                    ? field.getValue().getAsString()
                                    : field.getValue().toString();
                    values.append(field.getKey()).append('=').append(value).append(' ');
                }
            }
            table.row(event.time(), sourceName(event), event.name(), values.toString().trim());
        }
        return table.toString();
    }
}
