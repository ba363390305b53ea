/**
 * Claims stored in the platform's object API, so that a call with an idempotency key runs at most
 * once.
 */
package dev.foxtailshed.daemon.internal.claims;
