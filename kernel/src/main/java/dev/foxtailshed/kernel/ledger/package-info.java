/** Accounts for the request slots and KV pieces of one backend server and for what ran on it. */
package dev.foxtailshed.kernel.ledger;
