package dev.foxtailshed.kernel.suspects;

import static org.assertj.core.api.Assertions.assertThat;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.PromptParts;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which parts of prompts are blamed for crashes at an event of the answers. Guards against a
 * part that crashed one server after another, as the first event of each answer cleared it.
 */
class CrashingPartTest {

    private static final String DEADLY = "dead";

    /** Time between two crashes, in which answers begin and end. */
    private static final long INTERVAL_MILLIS = 3_000;

    private final CrashingTraits traits = new CrashingTraits();
    private int requests;
    private int servers;

    /** Creates a request that is like no other, with the given parts before one of its own. */
    private RequestTraits newRequest(String... parts) {
        String own = "own" + requests++;
        List<String> prompt = new ArrayList<>(Arrays.asList(parts));
        prompt.add(own);
        return RequestTraits.of(new PromptParts(prompt), own, "caller-" + own);
    }

    private static BrokenRun run(RequestTraits request, int events) {
        return new BrokenRun(request, events, 500);
    }

    private void crash(long atMillis, BrokenRun... runs) {
        traits.recordCrash(
                new ServerCrash(
                        new Incarnation("s" + servers++, 1), atMillis, List.of(), List.of(runs)),
                atMillis);
    }

    /** Records an answer that began at a time and has got to an event. */
    private Set<RequestTrait> progress(RequestTraits request, int events, long beganMillis) {
        return traits.recordProgress(request.traits(), events, beganMillis, beganMillis + 100);
    }

    private boolean isBlocked(RequestTraits request) {
        return !traits.findMatches(request).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        // events at which requests with the part were broken off, whether the part is blamed
        "1 1, false",
        "1 1 1, true",
        "0 1 2, false",
        "1 0 1 1, true",
        "0 0 0 0 0, false",
        "2 2 2, true",
        "2 2 3, false",
        "4 4 4, false",
        "4 4 4 4, true",
        "20 21 20 22, true",
        "20 21 20 30, false",
        "1 40 1 40 1, false",
        "40 1 1 1, true"
    })
    void partIsBlamedForCrashesAtTheSameEvent(String events, boolean blamed) {
        long atMillis = 0;
        for (String text : events.split(" ")) {
            atMillis += INTERVAL_MILLIS;
            crash(
                    atMillis,
                    run(newRequest("first", DEADLY, "other"), Integer.parseInt(text)),
                    run(newRequest("first", "sound"), 3 + requests * 7 % 40));
            progress(newRequest("first"), 10, atMillis + 1);
        }

        assertThat(isBlocked(newRequest("first", DEADLY, "other"))).isEqualTo(blamed);
        assertThat(isBlocked(newRequest("first", "sound"))).isFalse();
        assertThat(isBlocked(newRequest("first"))).isFalse();
    }

    /** Parts that are in the same crashes only are blamed together until one is cleared. */
    @Test
    void answersWithTheOtherPartsNarrowThePattern() {
        for (int i = 1; i <= 3; i++) {
            crash(i * INTERVAL_MILLIS, run(newRequest("first", DEADLY, "other"), 1));
        }
        assertThat(isBlocked(newRequest("first", DEADLY, "other"))).isTrue();
        assertThat(isBlocked(newRequest("first", "other"))).isFalse();
        assertThat(isBlocked(newRequest(DEADLY))).isFalse();

        progress(newRequest("first", "other"), 5, 3 * INTERVAL_MILLIS + 1);
        assertThat(isBlocked(newRequest(DEADLY))).isTrue();
        assertThat(isBlocked(newRequest("first", "other"))).isFalse();
    }

    /** Each request is sent to other servers when the first one has crashed. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void partOfRetriedRequestsIsBlamedAfterFiveCrashes(int attempts) {
        for (int i = 0; i < 5; i++) {
            assertThat(isBlocked(newRequest(DEADLY))).as("before crash " + i).isFalse();
            RequestTraits request =
                    RequestTraits.of(
                            new PromptParts(List.of(DEADLY, "own" + i / attempts)),
                            "content" + i / attempts,
                            "caller" + i / attempts);
            long sentMillis = INTERVAL_MILLIS * (1 + i / attempts) + 100 * (i % attempts);
            crash(sentMillis + 50, new BrokenRun(request, 1, 50));
        }

        assertThat(isBlocked(newRequest(DEADLY))).isTrue();
    }

    /** One request that comes again is blamed as a whole, and others with its parts are served. */
    @Test
    void partsOfOneRequestThatCrashesServersAreNotBlamed() {
        RequestTraits deadly = newRequest("first", "shared");
        for (int i = 1; i <= 8; i++) {
            crash(i * INTERVAL_MILLIS, run(deadly, 1));
        }

        assertThat(isBlocked(deadly)).isTrue();
        assertThat(isBlocked(newRequest("first", "shared"))).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        // event of the crashes, event that a later answer reaches, whether this clears the part
        "1, 4, false",
        "1, 5, true",
        "4, 9, false",
        "4, 10, true",
        "20, 20, false",
        "20, 40, true",
    })
    void answerThatGetsFurtherClearsThePart(int crashEvents, int events, boolean cleared) {
        for (int i = 1; i <= 4; i++) {
            crash(i * INTERVAL_MILLIS, run(newRequest("first", DEADLY), crashEvents));
        }
        assertThat(isBlocked(newRequest("first", DEADLY))).isTrue();

        long lastMillis = 4 * INTERVAL_MILLIS;
        assertThat(progress(newRequest("first", DEADLY), 1_000, lastMillis - 1))
                .as("parts cleared of the last crash by an answer that began before it")
                .isNotEmpty();
        assertThat(progress(newRequest("first", DEADLY), events, lastMillis + 1).isEmpty())
                .isEqualTo(!cleared);
        if (cleared) {
            assertThat(isBlocked(newRequest("first", DEADLY))).isFalse();
        }
    }

    @Test
    void completeAnswerClearsThePartWhateverItsLength() {
        for (int i = 1; i <= 4; i++) {
            crash(i * INTERVAL_MILLIS, run(newRequest(DEADLY), 20));
        }
        long nowMillis = 5 * INTERVAL_MILLIS;
        assertThat(traits.recordCompletion(newRequest(DEADLY).traits(), nowMillis, nowMillis + 10))
                .containsExactly(RequestTrait.promptPart(DEADLY));

        assertThat(isBlocked(newRequest(DEADLY))).isFalse();
    }

    /** Guards against a notice to all entries for each part of all that a crash broke off. */
    @Test
    void onlyPartsInSeveralCrashesAreReportedAsCleared() {
        crash(1_000, run(newRequest("sound"), 1));
        assertThat(progress(newRequest("sound"), 5, 1_500)).isEmpty();
        ServerCrash second =
                new ServerCrash(
                        new Incarnation("second", 1),
                        4_000,
                        List.of(),
                        List.of(run(newRequest("sound"), 1)));
        traits.recordCrash(second, 4_000);
        assertThat(traits.findEarlierProgress(second))
                .containsExactly(Map.entry(RequestTrait.promptPart("sound"), 1_500L));
        assertThat(progress(newRequest("sound"), 5, 4_500))
                .containsExactly(RequestTrait.promptPart("sound"));
        assertThat(progress(newRequest("sound"), 5, 4_600)).isEmpty();
    }

    /** An entry that begins in the middle takes the crashes and the clearances of another one. */
    @Test
    void anotherEntryFindsTheSamePattern() {
        List<ServerCrash> crashes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            crashes.add(
                    new ServerCrash(
                            new Incarnation("s" + i, 1),
                            i * INTERVAL_MILLIS,
                            List.of(),
                            List.of(run(newRequest("first", DEADLY), 1))));
            traits.recordCrash(crashes.get(i - 1), i * INTERVAL_MILLIS);
        }
        progress(newRequest("first"), 5, 3 * INTERVAL_MILLIS + 500);
        OptionalLong cleared = traits.clearedMillis(RequestTrait.promptPart("first"));
        assertThat(cleared).hasValue(3 * INTERVAL_MILLIS + 500);

        CrashingTraits other = new CrashingTraits();
        other.recordCompletion(
                List.of(RequestTrait.promptPart("first")), cleared.getAsLong(), 10_000);
        crashes.forEach(crash -> other.recordCrash(crash, 10_000));
        assertThat(other.patterns().stream().map(CrashPattern::labels))
                .containsExactly(Set.of(DEADLY));
        assertThat(traits.patterns()).isEqualTo(other.patterns());
    }

    @Test
    void trialEndsThePatternWhenServersAreMended() {
        for (int i = 1; i <= 3; i++) {
            crash(i * INTERVAL_MILLIS, run(newRequest(DEADLY), 1));
        }
        CrashPattern pattern = traits.findMatches(newRequest(DEADLY)).get(0);
        assertThat(traits.tryTrial(pattern, 0, 3 * INTERVAL_MILLIS + 79_000)).isFalse();
        assertThat(traits.tryTrial(pattern, 0, 3 * INTERVAL_MILLIS + 81_000)).isTrue();

        progress(newRequest(DEADLY), 5, 95_000);
        assertThat(isBlocked(newRequest(DEADLY))).isFalse();
    }

    /** All servers crash one after the other while the same prompts run at each of them. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 40})
    void serversLostTogetherBlameNoPart(int events) {
        for (int i = 0; i < 6; i++) {
            crash(20L * i, run(newRequest("first", "shared"), events));
        }

        assertThat(isBlocked(newRequest("first", "shared"))).isFalse();
    }

    /**
     * Servers are killed one after the other, every second or two or much faster, while streams of
     * many conversations run, which share parts of their prompts.
     */
    @ParameterizedTest
    @CsvSource({"1, 1500", "2, 1500", "3, 1500", "4, 300", "5, 300", "6, 300", "7, 4000"})
    void killsBlameNoPart(long seed, long killIntervalMillis) {
        Set<String> blamed = simulate(seed, killIntervalMillis, Optional.empty()).blamed;

        assertThat(requests).isGreaterThan(2_000);
        assertThat(servers).isGreaterThan(100);
        assertThat(blamed).isEmpty();
    }

    /** The same with a part that crashes servers at an event of each answer. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "3, 2", "4, 4", "5, 4", "6, 20"})
    void deadlyPartIsFoundBesideKills(long seed, int event) {
        Simulation result = simulate(seed, 10_000, Optional.of(event));

        assertThat(result.blamed).containsExactly(DEADLY);
        assertThat(result.crashesByPart).isBetween(3, 8);
    }

    private Simulation simulate(long seed, long killIntervalMillis, Optional<Integer> deadlyEvent) {
        Simulation simulation = new Simulation(new Random(seed), deadlyEvent);
        long nextKillMillis = 2_000;
        for (long now = 0; now < 600_000; now += 20) {
            boolean kill = now >= nextKillMillis;
            simulation.step(now, kill);
            if (kill) {
                nextKillMillis = now + killIntervalMillis * 2 / 3;
                nextKillMillis += simulation.random.nextInt((int) killIntervalMillis * 2 / 3);
            }
        }
        return simulation;
    }

    /** Streams of up to 72 events at four servers, with a retry after each crash. */
    private final class Simulation {
        private final Random random;
        private final Optional<Integer> deadlyEvent;
        private final Map<Integer, Stream> running = new HashMap<>();
        private final Set<String> blamed = new TreeSet<>();
        private int crashesByPart;
        private int nextStream;

        Simulation(Random random, Optional<Integer> deadlyEvent) {
            this.random = random;
            this.deadlyEvent = deadlyEvent;
        }

        void step(long now, boolean kill) {
            if (random.nextInt(10) == 0) {
                boolean deadly = deadlyEvent.isPresent() && random.nextInt(20) == 0;
                String conversation = "c" + random.nextInt(200);
                RequestTraits request =
                        deadly
                                ? newRequest("first", DEADLY, conversation)
                                : newRequest("first", "tool" + random.nextInt(3), conversation);
                if (!isBlocked(request)) {
                    running.put(nextStream++, new Stream(request, deadly, random));
                }
            }
            Set<Integer> crashing = new TreeSet<>();
            for (Map.Entry<Integer, Stream> entry : new ArrayList<>(running.entrySet())) {
                Stream stream = entry.getValue();
                stream.advance(now);
                if (stream.deadly && deadlyEvent.get() == stream.events) {
                    crashing.add(stream.server);
                    crashesByPart++;
                } else if (stream.events >= stream.length) {
                    running.remove(entry.getKey());
                    traits.recordCompletion(stream.request.traits(), stream.beganMillis, now);
                }
            }
            if (kill) {
                crashing.add(random.nextInt(4));
            }
            crashing.forEach(server -> crashServer(now, server));
        }

        private void crashServer(long now, int server) {
            List<Stream> broken =
                    running.values().stream().filter(stream -> stream.server == server).toList();
            crash(
                    now,
                    broken.stream().map(stream -> stream.breakOff(now)).toArray(BrokenRun[]::new));
            for (Stream stream : broken) {
                if (isBlocked(stream.request) || !stream.retry(now, random)) {
                    running.values().remove(stream);
                }
            }
            traits.patterns().forEach(pattern -> blamed.addAll(partsOf(pattern)));
        }

        private List<String> partsOf(CrashPattern pattern) {
            return pattern.labels().stream().filter(label -> !label.contains(":")).toList();
        }
    }

    /** A stream that its caller and the entries send to four servers at most. */
    private final class Stream {
        private final RequestTraits request;
        private final boolean deadly;
        private final int length;
        private RunProgress progress = new RunProgress();
        private int server;
        private int events;
        private int attempts = 1;
        private long sentMillis;
        private long beganMillis;

        Stream(RequestTraits request, boolean deadly, Random random) {
            this.request = request;
            this.deadly = deadly;
            this.length = 10 + random.nextInt(63);
            start(random.nextInt(4), random);
        }

        private void start(int newServer, Random random) {
            server = newServer;
            progress = new RunProgress();
            // Reading the prompt takes some time.
            events = -5 - random.nextInt(20);
        }

        void advance(long now) {
            events++;
            sentMillis = sentMillis == 0 ? now : sentMillis;
            if (events > 0) {
                if (progress.advance(events, now)) {
                    traits.recordProgress(
                            request.traits(), events, progress.beganMillis().getAsLong(), now);
                }
                beganMillis = progress.beganMillis().getAsLong();
            }
        }

        BrokenRun breakOff(long now) {
            return new BrokenRun(request, Math.max(0, events), now - sentMillis);
        }

        boolean retry(long now, Random random) {
            start((server + 1 + random.nextInt(3)) % 4, random);
            sentMillis = now;
            return ++attempts <= 4;
        }
    }
}
