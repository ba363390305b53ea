package dev.foxtailshed.kernel.direct.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the sizes and times add up to the bounds. */
class CreditLimitsTest {

    private static final int STARTS = 10;

    /** Guards against a change of one of the shares that the others do not allow for. */
    @ParameterizedTest
    @CsvSource({
        "47000, 47000, 190000",
        "47000, 0, 190000",
        "1000000, 1000000, 190000",
        "1000000, 1000, 0",
        "100, 100, 190000",
        "0.01, 1, 190000",
        "1000, 60000, 1000"
    })
    void storedAndInitialCreditIsWithinTheBound(double rate, double burst, double slack) {
        TokenQuota quota = new TokenQuota(rate, burst);
        QuotaBounds bounds = new QuotaBounds(8_000, 0.1, slack);
        CreditLimits limits = CreditLimits.of(quota, bounds);

        assertThat(limits.localMillis()).isPositive();
        assertThat(limits.poolMillis()).isPositive();
        assertThat(limits.drawnMillis()).isPositive();
        double accrued = rate * bounds.windowMillis() / 1_000;
        double started = STARTS * 28 * limits.initialTokens(28);
        assertThat(accrued + limits.poolCapTokens() + started)
                .isLessThanOrEqualTo(bounds.maximumTokens(quota) * (1 + 1e-9));
        assertThat(28 * limits.localCapTokens(28)).isLessThanOrEqualTo(limits.poolCapTokens());
    }

    /** Guards against a slack that gives a workspace with a low rate hours of credit. */
    @ParameterizedTest
    @CsvSource({"1", "10", "100"})
    void storedCreditAccruesInAFewWindows(double rate) {
        CreditLimits limits =
                CreditLimits.of(new TokenQuota(rate, rate), new QuotaBounds(8_000, 0.1, 190_000));

        assertThat(limits.localMillis()).isLessThan(5 * 8_000);
    }
}
