/**
 * Test stand-ins for the systems that nodes interact with: the platform, backend servers, callers and network links.
 */
package org.plantainshunt.standins;
