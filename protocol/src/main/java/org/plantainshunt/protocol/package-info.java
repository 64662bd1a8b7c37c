/**
 * The inner protocol, with which nodes exchange calls, tickets, draining notices and documents over authenticated
 * connections.
 */
package org.plantainshunt.protocol;
