/** Claims, which ensure that a call with an idempotency key runs at most once. */
package dev.foxtailshed.kernel.claims;
