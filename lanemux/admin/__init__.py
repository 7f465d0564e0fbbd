"""The operators' calls and figures at the second address. Imported only where one is named."""
