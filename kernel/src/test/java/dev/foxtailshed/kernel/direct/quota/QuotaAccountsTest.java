package dev.foxtailshed.kernel.direct.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import dev.foxtailshed.kernel.direct.EntryOrder;
import dev.foxtailshed.kernel.direct.quota.Decision.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the credit of single entries, and the messages of two or three. */
class QuotaAccountsTest {

    private static final String WORKSPACE = "t";
    private static final TokenQuota QUOTA = new TokenQuota(1_000, 1_000);
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.1, 9_100);
    private static final double EXCESS = 10_000;
    private static final List<String> THREE = List.of("a:1", "b:1", "c:1");

    /** The entries in the order in which they are the home. */
    private final List<String> order =
            THREE.stream()
                    .sorted(
                            Comparator.comparingInt(
                                    entry -> EntryOrder.rank(Set.of(WORKSPACE), entry, THREE)))
                    .toList();

    private final QuotaAccounts home = accounts(order.get(0));
    private final QuotaAccounts other = accounts(order.get(2));

    private static QuotaAccounts accounts(String self) {
        QuotaAccounts accounts = new QuotaAccounts(self);
        configure(accounts, QUOTA, OptionalInt.of(3), 0);
        return accounts;
    }

    private static void configure(
            QuotaAccounts accounts, TokenQuota quota, OptionalInt entries, long nowMillis) {
        accounts.configure(Map.of(WORKSPACE, quota), BOUNDS, entries, THREE, nowMillis);
    }

    /** Creates the only entry. */
    private static QuotaAccounts alone(TokenQuota quota) {
        QuotaAccounts accounts = new QuotaAccounts("a:1");
        accounts.configure(Map.of(WORKSPACE, quota), BOUNDS, OptionalInt.of(1), List.of("a:1"), 0);
        return accounts;
    }

    /** Fills the pool of the home with what the other entry has saved up. */
    private double fillPool(long nowMillis) {
        home.onDraw(WORKSPACE, 1e6, 1e6, nowMillis);
        for (Collect collect : home.nextCollects(nowMillis)) {
            home.onCollectReply(
                    collect,
                    collect.peer().equals(order.get(2))
                            ? other.onCollect(collect.workspaces(), nowMillis)
                            : Map.of(),
                    nowMillis);
        }
        return home.poolTokens(WORKSPACE, nowMillis);
    }

    @Test
    void workspaceWithoutLimitIsAlwaysAdmitted() {
        assertThat(home.spend("unknown", 1e300, 0)).isEqualTo(Decision.ADMITTED);
        assertThat(home.nextDraw("unknown", 1, 0)).isEmpty();
        assertThat(home.onDraw("unknown", 1, 1, 0).tokens()).isZero();
    }

    @Test
    void newProcessHasInitialCreditOnce() {
        double initial = 0.04 * EXCESS / 3;
        assertThat(other.localTokens(WORKSPACE, 0)).isCloseTo(initial, within(1e-6));

        other.configure(Map.of(), BOUNDS, OptionalInt.of(3), THREE, 0);
        configure(other, QUOTA, OptionalInt.of(3), 0);

        assertThat(other.localTokens(WORKSPACE, 0)).isZero();
    }

    @Test
    void nothingAccruesWhileTheNumberOfEntriesIsUnknown() {
        QuotaAccounts accounts = new QuotaAccounts(order.get(2));
        configure(accounts, QUOTA, OptionalInt.empty(), 0);
        assertThat(accounts.localTokens(WORKSPACE, 60_000)).isZero();
        assertThat(accounts.spend(WORKSPACE, 100, 60_000).outcome()).isEqualTo(Outcome.DRAW);

        Draw draw = accounts.nextDraw(WORKSPACE, 100, 60_000).orElseThrow();
        assertThat(draw.wantedTokens()).isEqualTo(100);
        accounts.onDrawReply(draw, new DrawReply(100, 0), 60_002);
        assertThat(accounts.spend(WORKSPACE, 100, 60_002)).isEqualTo(Decision.ADMITTED);

        configure(accounts, QUOTA, OptionalInt.of(3), 60_002);
        assertThat(accounts.localTokens(WORKSPACE, 60_002)).isCloseTo(400.0 / 3, within(1e-6));
        assertThat(accounts.localTokens(WORKSPACE, 60_302)).isCloseTo(700.0 / 3, within(1e-6));
    }

    @Test
    void localBucketAccruesItsShareUpToItsSize() {
        double initial = other.localTokens(WORKSPACE, 0);
        double cap = CreditLimits.of(QUOTA, BOUNDS).localCapTokens(3);

        assertThat(other.localTokens(WORKSPACE, 900)).isCloseTo(initial + 300, within(1e-6));
        assertThat(other.localTokens(WORKSPACE, 100_000)).isCloseTo(cap, within(1e-6));
        assertThat(other.lostTokens(WORKSPACE)).isZero();
    }

    /** Guards against refunds that fill a bucket above its size. */
    @Test
    void refundIsLimitedByTheSizeOfTheBucket() {
        double cap = other.localTokens(WORKSPACE, 100_000);
        assertThat(other.spend(WORKSPACE, 200, 100_000)).isEqualTo(Decision.ADMITTED);
        assertThat(other.localTokens(WORKSPACE, 100_000)).isCloseTo(cap - 200, within(1e-6));

        other.refund(WORKSPACE, 150, 100_000);
        assertThat(other.localTokens(WORKSPACE, 100_000)).isCloseTo(cap - 50, within(1e-6));
        other.refund(WORKSPACE, 150, 100_000);
        assertThat(other.localTokens(WORKSPACE, 100_000)).isCloseTo(cap, within(1e-6));
        assertThat(other.lostTokens(WORKSPACE)).isCloseTo(100, within(1e-6));
    }

    @Test
    void loweredLimitCutsStoredCreditAtOnce() {
        other.localTokens(WORKSPACE, 100_000);
        TokenQuota lower = new TokenQuota(10, 10);
        configure(other, lower, OptionalInt.of(3), 100_000);

        assertThat(other.localTokens(WORKSPACE, 100_000))
                .isCloseTo(CreditLimits.of(lower, BOUNDS).localCapTokens(3), within(1e-6));
    }

    @Test
    void entryHasOneDrawInFlight() {
        assertThat(other.spend(WORKSPACE, 500, 0).outcome()).isEqualTo(Outcome.DRAW);
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        assertThat(draw.home()).isEqualTo(order.get(0));
        assertThat(draw.neededTokens()).isCloseTo(500 - 400.0 / 3, within(1e-6));
        assertThat(other.spend(WORKSPACE, 600, 1).outcome()).isEqualTo(Outcome.DRAW);
        assertThat(other.nextDraw(WORKSPACE, 600, 1)).isEmpty();

        other.onDrawReply(draw, new DrawReply(draw.neededTokens(), 0), 2);
        assertThat(other.spend(WORKSPACE, 500, 2)).isEqualTo(Decision.ADMITTED);
    }

    /** Guards against a second draw because of rounding, when nothing accrues in the meantime. */
    @Test
    void drawOfExactlyWhatIsNeededCoversTheRequest() {
        for (int i = 1; i <= 1_000; i++) {
            long now = i * 100_000L;
            drawExactly(2_000 + i * Math.PI, now);
            assertThat(other.spend(WORKSPACE, 100 + i * 0.1, now)).isEqualTo(Decision.ADMITTED);

            double tokens = 5_000 + i * Math.E;
            drawExactly(tokens, now);
            assertThat(other.spend(WORKSPACE, tokens, now)).isEqualTo(Decision.ADMITTED);
            assertThat(other.localTokens(WORKSPACE, now)).isCloseTo(0, within(1e-5));
        }
    }

    private void drawExactly(double tokens, long nowMillis) {
        Draw draw = other.nextDraw(WORKSPACE, tokens, nowMillis).orElseThrow();
        other.onDrawReply(draw, new DrawReply(draw.neededTokens(), 0), nowMillis);
    }

    /** Guards against one draw after the other for requests that wait together. */
    @Test
    void drawAsksForAllWaitingRequestsAsFarAsThereIsRoom() {
        assertThat(other.nextDraw(WORKSPACE, 500, 700, 0).orElseThrow())
                .satisfies(
                        draw ->
                                assertThat(draw.wantedTokens() - draw.neededTokens())
                                        .isCloseTo(200, within(1e-6)));

        QuotaAccounts third = accounts(order.get(1));
        Draw large = third.nextDraw(WORKSPACE, 500, 1e9, 0).orElseThrow();
        assertThat(large.wantedTokens() + third.localTokens(WORKSPACE, 0))
                .isCloseTo(CreditLimits.of(QUOTA, BOUNDS).localCapTokens(3), within(1e-6));
    }

    /** Guards against fragments that cover no request at any entry. */
    @Test
    void homeGivesWhatIsNeededOrNothing() {
        double pool = fillPool(900);
        assertThat(pool).isGreaterThan(500);

        DrawReply refused = home.onDraw(WORKSPACE, pool + 1, pool + 1, 900);
        assertThat(refused.tokens()).isZero();
        assertThat(refused.creditAfterMillis()).isPositive();
        assertThat(home.onDraw(WORKSPACE, 400, 450, 900)).isEqualTo(new DrawReply(450, 0));
        assertThat(home.poolTokens(WORKSPACE, 900)).isCloseTo(pool - 450, within(1e-6));
    }

    @Test
    void refusedEntryDoesNotDrawUntilThereMayBeCredit() {
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        other.onDrawReply(draw, new DrawReply(0, 200), 2);

        Decision rejected = other.spend(WORKSPACE, 500, 2);
        assertThat(rejected).isEqualTo(new Decision(Outcome.REJECTED, 200));
        // A much smaller request may still be covered.
        assertThat(other.spend(WORKSPACE, 250, 2).outcome()).isEqualTo(Outcome.DRAW);
        assertThat(other.spend(WORKSPACE, 500, 202).outcome()).isEqualTo(Outcome.DRAW);
    }

    @Test
    void lostHomeIsSkippedForAWhile() {
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        other.onDrawLost(draw, 500);
        Draw second = other.nextDraw(WORKSPACE, 500, 500).orElseThrow();
        assertThat(second.home()).isEqualTo(order.get(1));

        other.onDrawLost(second, 1_000);
        assertThat(other.nextDraw(WORKSPACE, 5_000, 1_000)).isEmpty();
        assertThat(other.spend(WORKSPACE, 5_000, 1_000).outcome()).isEqualTo(Outcome.REJECTED);

        Draw again = other.nextDraw(WORKSPACE, 5_000, 1_500).orElseThrow();
        assertThat(again.home()).isEqualTo(order.get(0));
        other.onDrawReply(again, new DrawReply(again.neededTokens(), 0), 1_502);
        assertThat(other.spend(WORKSPACE, 5_000, 1_502)).isEqualTo(Decision.ADMITTED);
    }

    @Test
    void homeCollectsFromEachPeerAtMostEveryHalfSecond() {
        assertThat(home.nextCollects(0)).isEmpty();
        assertThat(home.onDraw(WORKSPACE, 500, 500, 0).tokens()).isZero();

        List<Collect> round = home.nextCollects(0);
        assertThat(round)
                .extracting(Collect::peer)
                .containsExactlyInAnyOrder(order.get(1), order.get(2));
        assertThat(round).allSatisfy(c -> assertThat(c.workspaces()).containsExactly(WORKSPACE));
        assertThat(home.nextCollects(499)).isEmpty();

        home.onCollectReply(round.get(0), Map.of(WORKSPACE, 100.0), 2);
        home.onCollectLost(round.get(1), 500);
        assertThat(home.nextCollects(500))
                .extracting(Collect::peer)
                .containsExactly(round.get(0).peer());
    }

    /** Guards against rounds that go on for workspaces that send nothing. */
    @Test
    void homeDoesNotCollectForIdleWorkspaces() {
        home.onDraw(WORKSPACE, 500, 500, 0);
        long rounds = 0;
        for (long now = 0; now < 60_000; now += 100) {
            List<Collect> round = home.nextCollects(now);
            long at = now;
            round.forEach(collect -> home.onCollectReply(collect, Map.of(), at));
            rounds += round.isEmpty() ? 0 : 1;
        }
        assertThat(rounds).isBetween(8L, 20L);
    }

    /** Guards against credit that is both given away and kept. */
    @Test
    void collectedCreditIsSubtracted() {
        double before = other.localTokens(WORKSPACE, 900);
        double given = other.onCollect(List.of(WORKSPACE, "unknown"), 900).get(WORKSPACE);

        assertThat(given).isPositive();
        assertThat(other.localTokens(WORKSPACE, 900)).isCloseTo(before - given, within(1e-6));
    }

    @Test
    void requestThatWaitsForADrawKeepsItsCredit() {
        other.nextDraw(WORKSPACE, 5_000, 900).orElseThrow();

        assertThat(other.onCollect(List.of(WORKSPACE), 900)).isEmpty();
    }

    /** Guards against saved credit that survives in messages or pools for longer than allowed. */
    @Test
    void oldCreditIsLost() {
        CreditLimits limits = CreditLimits.of(QUOTA, BOUNDS);
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        double before = other.localTokens(WORKSPACE, limits.drawnMillis());
        other.onDrawReply(draw, new DrawReply(draw.neededTokens(), 0), limits.drawnMillis());
        assertThat(other.localTokens(WORKSPACE, limits.drawnMillis())).isEqualTo(before);
        assertThat(other.lostTokens(WORKSPACE)).isCloseTo(draw.neededTokens(), within(1e-6));

        assertThat(fillPool(10_000)).isPositive();
        assertThat(home.poolTokens(WORKSPACE, 10_000 + limits.poolMillis())).isZero();
    }

    /** Guards against credit that a peer makes up. */
    @ParameterizedTest
    @ValueSource(
            doubles = {
                -1,
                -1e300,
                1e300,
                Double.NaN,
                Double.POSITIVE_INFINITY,
                Double.NEGATIVE_INFINITY
            })
    void numbersOfPeersDoNotAddCredit(double tokens) {
        CreditLimits limits = CreditLimits.of(QUOTA, BOUNDS);
        double before = other.localTokens(WORKSPACE, 0);
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        other.onDrawReply(draw, new DrawReply(tokens, Long.MIN_VALUE), 0);
        assertThat(other.localTokens(WORKSPACE, 0)).isBetween(before, before + draw.wantedTokens());
        assertThat(other.spend(WORKSPACE, 5_000, 0).outcome()).isIn(Outcome.DRAW, Outcome.REJECTED);

        home.onDraw(WORKSPACE, 500, 500, 0);
        for (Collect collect : home.nextCollects(0)) {
            home.onCollectReply(collect, Map.of(WORKSPACE, tokens, "unknown", 1.0), 0);
        }
        double own = 3 * limits.localCapTokens(3);
        assertThat(home.poolTokens(WORKSPACE, 0)).isBetween(0.0, own);

        double pool = home.poolTokens(WORKSPACE, 0);
        DrawReply needed = home.onDraw(WORKSPACE, tokens, 1, 0);
        DrawReply wanted = home.onDraw(WORKSPACE, 1, tokens, 0);
        assertThat(needed.tokens()).isZero();
        assertThat(wanted.tokens()).isBetween(0.0, pool);
        assertThat(home.poolTokens(WORKSPACE, 0)).isCloseTo(pool - wanted.tokens(), within(1e-6));
    }

    /** Guards against replies that are counted twice, or without having been asked for. */
    @Test
    void onlyRepliesThatAreInFlightCount() {
        Draw draw = other.nextDraw(WORKSPACE, 500, 0).orElseThrow();
        other.onDrawReply(draw, new DrawReply(300, 0), 1);
        double once = other.localTokens(WORKSPACE, 1);
        other.onDrawReply(draw, new DrawReply(300, 0), 1);
        other.onDrawReply(new Draw("x", WORKSPACE, 9, 9, 0), new DrawReply(9, 0), 1);
        other.onDrawReply(new Draw("x", "unknown", 9, 9, 0), new DrawReply(9, 0), 1);
        assertThat(other.localTokens(WORKSPACE, 1)).isEqualTo(once);

        home.onDraw(WORKSPACE, 500, 500, 0);
        Collect collect = home.nextCollects(0).get(0);
        home.onCollectLost(collect, 500);
        double before = home.poolTokens(WORKSPACE, 500);
        home.onCollectReply(collect, Map.of(WORKSPACE, 100.0), 501);
        assertThat(home.poolTokens(WORKSPACE, 501)).isEqualTo(before);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void invalidCostIsRefused(double tokens) {
        assertThatThrownBy(() -> other.spend(WORKSPACE, tokens, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> other.refund(WORKSPACE, tokens, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> other.nextDraw(WORKSPACE, tokens, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against requests above the burst that no bucket can ever cover, and wait for ever. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 100, 1_000})
    void requestsLargerThanTheBurstAreAdmittedAtTheRate(double burst) {
        QuotaAccounts accounts = alone(new TokenQuota(1_000, burst));
        double tokens = 4_000;
        List<Long> admittedMillis = new ArrayList<>();
        for (long now = 0; now < 100_000; now += 50) {
            if (accounts.spend(WORKSPACE, tokens, now).outcome() == Outcome.ADMITTED) {
                admittedMillis.add(now);
            }
            accounts.nextCollects(now);
        }

        assertThat(admittedMillis).hasSizeBetween(22, 27);
    }

    /** Guards against a debt that is forgotten. */
    @Test
    void debtIsPaidBeforeAnythingElseIsGiven() {
        double pool = fillPool(900);
        double needed = pool + 500;
        assertThat(needed).isGreaterThan(QUOTA.burstTokens());
        assertThat(home.onDraw(WORKSPACE, needed, needed, 900).tokens()).isEqualTo(needed);
        assertThat(home.poolTokens(WORKSPACE, 900)).isCloseTo(-500, within(1e-6));
        assertThat(home.onDraw(WORKSPACE, 1, 1, 900).tokens()).isZero();

        List<Collect> round = home.nextCollects(1_400);
        double own = home.poolTokens(WORKSPACE, 1_400) + 500;
        round.forEach(c -> home.onCollectReply(c, Map.of(WORKSPACE, 100.0), 1_400));
        assertThat(home.poolTokens(WORKSPACE, 1_400)).isCloseTo(own + 200 - 500, within(1e-6));
    }

    /** Guards against a single request that alone exceeds the bound. */
    @Test
    void requestThatIsLargerThanAllCreditIsRejected() {
        QuotaAccounts accounts = alone(QUOTA);
        for (long now = 0; now < 60_000; now += 50) {
            Decision decision = accounts.spend(WORKSPACE, 50_000, now);
            assertThat(decision.outcome()).isEqualTo(Outcome.REJECTED);
            assertThat(decision.creditAfterMillis()).isBetween(1L, BOUNDS.windowMillis());
            accounts.nextCollects(now);
        }
    }

    /** Guards against an only entry that has less credit than a central bucket. */
    @Test
    void onlyEntryIsItsOwnHome() {
        QuotaAccounts accounts = alone(QUOTA);
        double spent = 0;
        for (long now = 0; now < 100_000; now += 10) {
            while (accounts.spend(WORKSPACE, 100, now).outcome() == Outcome.ADMITTED) {
                spent += 100;
            }
            assertThat(accounts.nextDraw(WORKSPACE, 100, now)).isEmpty();
            accounts.nextCollects(now);
        }
        assertThat(spent).isBetween(99_000.0, 101_000.0);
    }

    @Test
    void entriesTellEachOtherTheirNumber() {
        assertThat(other.knownEntryCount(0).orElseThrow().entries()).isEqualTo(3);
        other.onKnownEntryCount(new KnownEntryCount(6, 5_000), 0);
        double before = other.localTokens(WORKSPACE, 0);

        assertThat(other.localTokens(WORKSPACE, 600)).isCloseTo(before + 100, within(1e-6));
        assertThat(other.knownEntryCount(600).orElseThrow())
                .isEqualTo(new KnownEntryCount(6, 4_400));
    }
}
